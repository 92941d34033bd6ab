/*
 * Starts control members of built programs with the stand-ins of the soak, for entry processes that start later.
 */
import { createServer, Server } from "node:http";
import { AddressInfo } from "node:net";
import { join } from "node:path";
import { createRandomSource, RandomSource } from "../../../src/runtime";
import { createRunTracker } from "../soak/createRunTracker";
import { createSoakLimitChanges } from "../soak/createSoakLimitChanges";
import { soakPorts } from "../soak/soakPorts";
import { soakSoftwareVersions } from "../soak/soakSoftwareVersions";
import { startSoakBackend } from "../soak/startSoakBackend";
import { startSoakOperator } from "../soak/startSoakOperator";
import { MeasuredProcess } from "./MeasuredProcess";
import { startMeasuredProcess } from "./startMeasuredProcess";

const controlCount = 3;
const engineCount = 12;
const plainServiceCount = 3;
/** The first numbers of the loopback addresses. */
const firstNumbers = { control: 1, entry: 11, engine: 101, plainService: 131, platformList: 141 };
/** Chooses no fault for any response of the stand-ins. */
const faultlessRandom: RandomSource = { ...createRandomSource(1), getFraction: () => 0.5 };

/** The options of `startMeasuredDeployment`. */
interface MeasuredDeploymentOptions {
    /** The folder that holds the programs in `target`. */
    programFolder: string;
    /** The first three numbers of all loopback addresses. */
    network: string;
    /** The folder for the processes' settings, data and logs. */
    folder: string;
    /** Whether the processes write profiles. */
    isProfiled: boolean;
}

/** A deployment whose entry processes are started by the measurement. */
export interface MeasuredDeployment {
    /** The control members. */
    readonly controls: readonly MeasuredProcess[];
    /** Starts the next entry process. */
    startEntry(): MeasuredProcess;
    /** Ends all processes and stand-ins. */
    stop(): Promise<void>;
}

/** Starts control members and stand-ins, and sends the first document. */
export async function startMeasuredDeployment(options: MeasuredDeploymentOptions): Promise<MeasuredDeployment> {
    const { programFolder, network, folder, isProfiled } = options;
    const runTracker = createRunTracker();
    const backends = await Promise.all([
        ...getIps(firstNumbers.engine, engineCount).map(ip => startBackend(ip, true)),
        ...getIps(firstNumbers.plainService, plainServiceCount).map(ip => startBackend(ip, false)),
    ]);
    const [platformListIp] = getIps(firstNumbers.platformList, 1);
    const platformList = await startPlatformList(
        platformListIp!,
        () => backends.map(backend => backend.getListEntry()),
    );
    const controlIps = getIps(firstNumbers.control, controlCount);
    const operatorAddresses = controlIps.map(ip => `${ip}:${soakPorts.operator}`);
    const listAddress = `${platformListIp}:${(platformList.address() as AddressInfo).port}`;
    const controls = controlIps.map(ip => startProcess("control", ip));
    const entries: MeasuredProcess[] = [];
    const operator = startSoakOperator({
        addresses: operatorAddresses,
        runTracker,
        random: faultlessRandom,
        limits: createSoakLimitChanges(undefined),
    });
    await operator.changeDocument();
    // The operator reads all the while, which would count as processor time of idle control members.
    operator.stop();
    return { controls, startEntry, stop };

    function getIps(first: number, count: number): string[] {
        return Array.from({ length: count }, (...[, index]) => `${network}.${first + index}`);
    }

    function startBackend(ip: string, isEngine: boolean) {
        const service = isEngine ? "engines" : "actions";
        return startSoakBackend({
            ip,
            name: `${service}-${ip.split(".").at(-1)}`,
            service,
            isEngine,
            softwareVersion: soakSoftwareVersions[0]!,
            runTracker,
            random: faultlessRandom,
        });
    }

    function startProcess(role: "entry" | "control", ip: string): MeasuredProcess {
        return startMeasuredProcess({
            programFolder,
            role,
            ip,
            folder: join(folder, `${role}-${ip}`),
            seedAddresses: operatorAddresses,
            listAddress,
            isProfiled,
        });
    }

    function startEntry(): MeasuredProcess {
        const entry = startProcess("entry", `${network}.${firstNumbers.entry + entries.length}`);
        entries.push(entry);
        return entry;
    }

    async function stop(): Promise<void> {
        await Promise.all([...controls, ...entries].map(measured => measured.stop()));
        backends.forEach(backend => {
            backend.proxy.stop();
            backend.stop();
        });
        platformList.close();
        platformList.closeAllConnections();
    }
}

/** Starts the platform's list; that of the soak adds entries of another writer. */
async function startPlatformList(ip: string, getEntries: () => readonly object[]): Promise<Server> {
    const server = createServer((...[, response]) => {
        response.writeHead(200, { "content-type": "application/json" });
        response.end(JSON.stringify({ instances: getEntries() }));
    });
    await new Promise<void>(resolve => server.listen(0, ip, resolve));
    return server;
}
