/*
 * Starts three control members of built programs with an operator, for tests that lose disks or connections. Proxies stand between them.
 */
import { once } from "node:events";
import { AddressInfo } from "node:net";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { createRandomSource } from "../../../src/runtime";
import { createRunTracker } from "../soak/createRunTracker";
import { createSoakLimitChanges } from "../soak/createSoakLimitChanges";
import { emptyFolder } from "../soak/emptyFolder";
import { killAndAwaitStart } from "../soak/killAndAwaitStart";
import { SoakOperator } from "../soak/SoakOperator";
import { soakPorts } from "../soak/soakPorts";
import { SoakProcess } from "../soak/SoakProcess";
import { startMemberLinks } from "../soak/startMemberLinks";
import { startSeries } from "../soak/startSeries";
import { startSoakOperator } from "../soak/startSoakOperator";
import { startSoakPlatformList } from "../soak/startSoakPlatformList";
import { startSoakProcess } from "../soak/startSoakProcess";
import { SoakProxy } from "../soak/startSoakProxy";

const memberCount = 3;
const platformListNumber = 41;
const restartDelayMilliseconds = 1_000;
const changePauseMilliseconds = 400;
const changesAtOnce = 10;
/** Makes a document of 5 kB. */
const furtherWorkspaceCount = 45;

/** Three control members and their operator. */
export interface ControlGroup {
    /** The members. */
    readonly controls: readonly SoakProcess[];
    /** The operator, which reads all the while. */
    readonly operator: SoakOperator;
    /** The proxies between the members. */
    readonly links: readonly SoakProxy[];
    /** Kills a member and empties its folder; it is started again after a second. Resolves once it has been started. */
    loseDisk(index: number): Promise<void>;
    /** Kills all members and empties the folder of one of them; all are started again after a second. */
    loseDiskAndKillOthers(index: number): Promise<void>;
    /** Starts to change the document again and again, and returns what ends it. */
    startChanges(): () => Promise<void>;
    /** Ends all processes. */
    stop(): Promise<void>;
}

/**
 * Starts the group.
 * @param network - The first three numbers of all its loopback addresses.
 * @param folder - The folder for the processes' settings, data and logs.
 * @param versionCount - The number of versions of the document that are written first.
 * @param lastVersion - The version after which the operator's begin.
 */
export async function startControlGroup(
    network: string,
    folder: string,
    versionCount: number,
    lastVersion = 0,
): Promise<ControlGroup> {
    const platformList = await startSoakPlatformList(`${network}.${platformListNumber}`, () => []);
    const ips = Array.from({ length: memberCount }, (...[, index]) => `${network}.${index + 1}`);
    const addresses = ips.map(ip => `${ip}:${soakPorts.operator}`);
    const memberLinks = await Promise.all(ips.map(ip => startMemberLinks(ip, ips)));
    const links = memberLinks.flatMap(member => member.links);
    const controls = ips.map((ip, index) =>
        startSoakProcess({
            redirections: memberLinks[index]!.redirections,
            ip,
            role: "control",
            folder: join(folder, `control-${index + 1}`),
            seedAddresses: addresses,
            listAddress: `${platformList.ip}:${(platformList.address() as AddressInfo).port}`,
            restartDelayMilliseconds,
        })
    );
    const operator = startSoakOperator({
        addresses,
        runTracker: createRunTracker(),
        random: createRandomSource(1),
        limits: createSoakLimitChanges(undefined),
        furtherWorkspaceCount,
        lastVersion,
    });
    for (let version = 0; version < versionCount; version += changesAtOnce) {
        const count = Math.min(changesAtOnce, versionCount - version);
        await Promise.all(Array.from({ length: count }, () => operator.changeDocument()));
    }
    return { controls, operator, links, loseDisk, loseDiskAndKillOthers, startChanges, stop };

    async function loseDisk(index: number): Promise<void> {
        controls[index]!.changeDataFolderBeforeRestart(emptyFolder);
        await killAndAwaitStart([controls[index]!]);
    }

    async function loseDiskAndKillOthers(index: number): Promise<void> {
        controls[index]!.changeDataFolderBeforeRestart(emptyFolder);
        await killAndAwaitStart(controls);
    }

    function startChanges(): () => Promise<void> {
        return startSeries(async () => {
            await operator.changeDocument();
            await sleep(changePauseMilliseconds);
        });
    }

    async function stop(): Promise<void> {
        operator.stop();
        await Promise.all(controls.map(control => control.stop()));
        links.forEach(link => link.stop());
        const closed = once(platformList, "close");
        platformList.close();
        platformList.closeAllConnections();
        await closed;
    }
}
