/*
 * The end of soaks whose control members lose disks in turn, each once the time for catching up has passed since the machine
 * of the last is back, while members are slow; at the last one all other processes are killed as well.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { emptyFolder } from "./emptyFolder";
import { killAndAwaitStart } from "./killAndAwaitStart";
import { RunTracker } from "./RunTracker";
import { soakBounds } from "./soakBounds";
import { SoakDeployment } from "./SoakDeployment";
import { SoakOperator } from "./SoakOperator";
import { SoakProcess } from "./SoakProcess";
import { startPulses } from "./startPulses";
import { startSeries } from "./startSeries";
import { waitForDocumentAtAll } from "./waitForDocumentAtAll";

const millisecondsPerSecond = 1_000;
const lostDiskCount = 2;
const changePauseMilliseconds = 300;
/** The shares of the time for which members are stopped. */
const stoppedShares = [0, 0.3, 0.5];
/** Of this many lost disks, one is that of the leader. */
const lossesPerLeader = 2;

/** The options of `runMemberLosses`. */
interface MemberLossesOptions {
    deployment: SoakDeployment;
    operator: SoakOperator;
    runTracker: RunTracker;
    /** Chooses the members and how slow they are. */
    random: RandomSource;
    /** Called with a description of each fault. */
    onFault: (description: string) => void;
}

/** Loses the disks, and adds a breach where members don't return the newest document after a fault. */
export async function runMemberLosses(options: MemberLossesOptions): Promise<void> {
    const { deployment: { controls, entries, memberLinks }, operator, runTracker, random, onFault } = options;
    const stoppedShare = stoppedShares[random.getInteger(stoppedShares.length)]!;
    onFault(`members are stopped for ${stoppedShare} of the time`);
    const stopPulses = startPulses(controls, stoppedShare);
    try {
        onFault("all open connections to members are silent for good");
        memberLinks.forEach(link => link.silenceConnections());
        await checkDocument("all connections were silent");
        const stopChanges = startSeries(async () => {
            await operator.changeDocument();
            await sleep(changePauseMilliseconds);
        });
        for (let count = 0; count < lostDiskCount; count++) {
            await loseDisk([]);
            await sleep(soakBounds.catch_up_s * millisecondsPerSecond);
        }
        // The change that is being sent ends when the group has recovered, or with the operator.
        const changesEnd = stopChanges();
        await loseDisk([...controls, ...entries]);
        await checkDocument("a disk was lost and all other processes were killed");
        await Promise.race([changesEnd, sleep(millisecondsPerSecond)]);
    }
    finally {
        await stopPulses();
    }

    async function loseDisk(alsoKilled: readonly SoakProcess[]): Promise<void> {
        const leader = controls.find(({ ip }) => ip === operator.getLeaderIp());
        const isLeader = random.getInteger(lossesPerLeader) === 0;
        const lost = (isLeader ? leader : undefined) ?? controls[random.getInteger(controls.length)]!;
        onFault(`${lost.ip} loses its disk${alsoKilled.length > 0 ? ", all other processes are killed" : ""}`);
        lost.changeDataFolderBeforeRestart(emptyFolder);
        await killAndAwaitStart([...new Set([lost, ...alsoKilled])]);
    }

    async function checkDocument(fault: string): Promise<void> {
        const result = await waitForDocumentAtAll(operator);
        if (typeof result === "string") {
            runTracker.addBreach(`after ${fault}: ${result}`);
        }
        else {
            onFault(`all members return the document after ${result} ms`);
        }
    }
}
