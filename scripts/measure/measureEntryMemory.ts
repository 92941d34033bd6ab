/*
 * Measures the memory and processor time of an idle entry process, with a configuration and a directory of several
 * sizes, each in a separate process. Prints one line of JSON for each figure.
 */
import { create } from "@bufbuild/protobuf";
import { fork } from "node:child_process";
import { once } from "node:events";
import {
    createConfigurationPart,
    createConfigurationView,
    createInitialChange,
    LevelSettings,
} from "../../src/control/configuration";
import { startEntry } from "../../src/entry";
import { createFixedAuthority } from "../../src/experiment/deployment/createFixedAuthority";
import { experimentEntrySettings } from "../../src/experiment/deployment/experimentEntrySettings";
import { createSilentLogger } from "../../src/logging";
import { createDirectory } from "../../src/membership";
import { createMetrics } from "../../src/metrics";
import { BackendKind, createPeerTransports, ProcessRecordSchema, ProcessRole, ProcessState } from "../../src/protocol";
import { createPlacement } from "../../src/routing";
import { createRandomSource, createSystemClock } from "../../src/runtime";
import { createKeyDigest } from "../../src/security";
import { printFigure } from "./printFigure";

const shares = [0, 0.25, 0.5, 1, 1.5];
const workspaceCount = 2_200;
const recordCount = 2_410;
const entryCount = 510;
const modelCount = 22;
const teamsPerWorkspace = 2;
const subscribersPerTeam = 5;
const settleMilliseconds = 20_000;
const restMilliseconds = 6_000;
const warmUpSnapshots = 3;
const clock = createSystemClock();

if (process.argv[2] === undefined) {
    void measureAll();
}
else {
    void measureEntry(Number(process.argv[2]));
}

async function measureAll(): Promise<void> {
    for (const share of shares) {
        const child = fork(process.argv[1]!, [String(share)], { execArgv: process.execArgv });
        const [code] = await once(child, "close") as [number];
        process.exitCode = code === 0 ? process.exitCode : 1;
    }
}

async function measureEntry(share: number): Promise<void> {
    const workspaces = Math.round(share * workspaceCount);
    const directory = createDirectory({ clock });
    const configuration = createConfigurationView();
    const entry = await startEntry({
        listener: { address: "127.0.0.1", port: 0 },
        settings: experimentEntrySettings,
        routing: { pieceTokens: 4_096, bytesPerToken: 4 },
        configuration,
        directory,
        authority: createFixedAuthority(1n),
        placement: createPlacement({ clock, random: createRandomSource(1) }),
        transports: createPeerTransports(),
        control: undefined,
        clock,
        random: createRandomSource(1),
        logger: createSilentLogger(),
        metrics: createMetrics(),
    });
    for (let round = 0; round < warmUpSnapshots; round++) {
        configuration.applySnapshot(createSnapshot(workspaces));
    }
    createRecords(Math.round(share * recordCount)).forEach(record => directory.mergeRecord(record));
    configuration.getLevelPaths().forEach(configuration.getEffectiveSettings);
    await clock.sleep(settleMilliseconds);
    globalThis.gc?.();
    globalThis.gc?.();
    const { heapUsed, rss } = process.memoryUsage();
    printFigure(`entry.rest.${workspaces}.heap`, heapUsed, "bytes");
    printFigure(`entry.rest.${workspaces}.resident`, rss, "bytes");
    const before = process.cpuUsage();
    await clock.sleep(restMilliseconds);
    const { user, system } = process.cpuUsage(before);
    printFigure(`entry.rest.${workspaces}.processor`, (user + system) / (restMilliseconds / 1_000), "us/s");
    await entry.stop();
    process.exit();
}

/** Creates the snapshot of a configuration with a number of workspaces, as a session stream delivers it. */
function createSnapshot(workspaces: number): ReturnType<ReturnType<typeof createConfigurationPart>["getSnapshot"]> {
    const part = createConfigurationPart();
    const change = createInitialChange(createLevels(workspaces));
    const context = { term: 1n, index: 1n, timeMilliseconds: 0 };
    part.apply({ command: { case: "configuration", value: change } } as never, context);
    return part.getSnapshot();
}

function createLevels(workspaces: number): Map<string, LevelSettings> {
    const levels = new Map<string, LevelSettings>([["/", { limits: { requestsPerSecond: 50 } }]]);
    for (let workspace = 0; workspace < workspaces; workspace++) {
        const path = `/workspace-${workspace}`;
        const models = { [`model-${workspace % modelCount}`]: { allowed: true, versions: ["7", "8"] } };
        levels.set(path, { shareWeight: 1 + workspace % 3, models });
        for (let team = 0; team < teamsPerWorkspace; team++) {
            levels.set(`${path}/team-${team}`, { limits: { requestsPerSecond: 10 } });
            for (let subscriber = 0; subscriber < subscribersPerTeam; subscriber++) {
                const level = `${path}/team-${team}/subscriber-${subscriber}`;
                levels.set(level, { keyDigests: [createKeyDigest(level)], limits: { concurrentRequests: 8 } });
            }
        }
    }
    return levels;
}

function createRecords(count: number): ReturnType<typeof createRecord>[] {
    return [...Array(count).keys()].map(createRecord);
}

function createRecord(index: number) {
    const isEntry = index % Math.round(recordCount / entryCount) === 0;
    return create(ProcessRecordSchema, {
        instanceId: `instance-${index}`,
        incarnation: `incarnation-of-instance-${index}`,
        role: isEntry ? ProcessRole.ENTRY : ProcessRole.COMPANION,
        state: ProcessState.READY,
        address: `10.0.${Math.floor(index / 250)}.${index % 250}:7000`,
        dataCentre: `data-centre-${index % 8}`,
        region: `region-${index % 2}`,
        backendKind: isEntry ? BackendKind.UNSPECIFIED : BackendKind.ENGINE,
        backendIncarnation: `backend-incarnation-${index}`,
        serves: isEntry ? "" : `model-${index % modelCount}`,
        version: "7",
        recordNumber: 1n,
    });
}
