/*
 * Measures the size of a member's data folder and the time a member takes to start after 10,000 changes, with and
 * without snapshots, and after a history of 2,300 changes of a document with the default limits.
 */
import { readdir, rm, stat } from "node:fs/promises";
import { join } from "node:path";
import { ConsensusLimits, createReplicatedLog } from "../../../src/control/consensus";
import { openLogStorage } from "../../../src/control/storage";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { createRandomSource, createSystemClock } from "../../../src/runtime";
import { Figure } from "./Figure";
import { createMeasuredStateMachine, startMeasuredMember } from "./startMeasuredMember";

const changesPerBatch = 100;
const pollMilliseconds = 1;

interface RecoveryVariant {
    /** The name of the variant in the figures. */
    name: string;
    /** The number of changes. */
    changeCount: number;
    /** The size of a change, in bytes. */
    changeBytes: number;
    /** The number of values that the changes replace in turn. */
    valueCount: number;
    /** The limits that differ from the defaults. */
    limits: Partial<ConsensusLimits>;
}

/** Measures recovery with snapshots and without, and after a history. */
export async function measureRecovery(): Promise<Figure[]> {
    // The first run only warms up the JIT compiler.
    await measureVariant(createVariant("warmUp", 1_000));
    const withSnapshots = await measureVariant(createVariant("snapshots", 1_000));
    const without = await measureVariant(createVariant("noSnapshots", Number.MAX_SAFE_INTEGER));
    const history = await measureVariant({
        name: "history",
        changeCount: 2_300,
        changeBytes: 5_000,
        valueCount: 1,
        limits: {},
    });
    return [...withSnapshots, ...without, ...history];
}

function createVariant(name: string, snapshotThresholdEntries: number): RecoveryVariant {
    const limits = {
        snapshotThresholdEntries,
        snapshotThresholdBytes: Number.MAX_SAFE_INTEGER,
        snapshotMinimumLogBytes: Number.MAX_SAFE_INTEGER,
        retainedEntries: 100,
    };
    return { name, changeCount: 10_000, changeBytes: 300, valueCount: 500, limits };
}

async function measureVariant(variant: RecoveryVariant): Promise<Figure[]> {
    const { name, changeCount, changeBytes, valueCount, limits } = variant;
    const member = await startMeasuredMember();
    member.start({
        limits,
        stateMachine: createMeasuredStateMachine(valueCount),
        join: { addresses: [member.address], startsGroup: true },
    });
    const command = Buffer.alloc(changeBytes, "x");
    let committed = 0;
    while (committed < changeCount) {
        const proposals = Array.from({ length: changesPerBatch }, () => member.log.propose(command));
        const outcomes = await Promise.all(proposals);
        committed += outcomes.filter(outcome => outcome.kind === "committed").length;
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
    }
    await member.stop(true);
    const bytes = await getFolderBytes(member.folder);
    const start = performance.now();
    const openMilliseconds = await recover(member.folder, member.address, variant);
    const recoverMilliseconds = performance.now() - start;
    await rm(member.folder, { recursive: true });
    return [
        { name: `log.recovery.${name}.folder`, value: bytes, unit: "bytes" },
        { name: `log.recovery.${name}.open`, value: openMilliseconds, unit: "ms" },
        { name: `log.recovery.${name}.total`, value: recoverMilliseconds, unit: "ms" },
    ];
}

/** Opens a folder and waits until all entries are applied; returns the milliseconds that opening the storage took. */
async function recover(folder: string, address: string, variant: RecoveryVariant): Promise<number> {
    const start = performance.now();
    const outcome = await openLogStorage({ folder, logger: createSilentLogger(), metrics: createMetrics() });
    if (outcome.kind !== "opened") {
        throw new Error(outcome.reason);
    }
    const openMilliseconds = performance.now() - start;
    const { storage } = outcome;
    const log = createReplicatedLog({
        group: "measure",
        address,
        storage,
        peers: createNoPeers(),
        stateMachine: createMeasuredStateMachine(variant.valueCount),
        clock: createSystemClock(),
        random: createRandomSource(1),
        logger: createSilentLogger(),
        metrics: createMetrics(),
        limits: {
            snapshotThresholdEntries: Number.MAX_SAFE_INTEGER,
            snapshotThresholdBytes: Number.MAX_SAFE_INTEGER,
            snapshotMinimumLogBytes: Number.MAX_SAFE_INTEGER,
        },
        timing: { minimumElectionTimeoutMilliseconds: 1, maximumElectionTimeoutMilliseconds: 2 },
    });
    while (
        log.getStatus().appliedIndex < storage.getLastIndex() || log.getStatus().appliedIndex < variant.changeCount
    ) {
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
    }
    await log.stop();
    await storage.stop();
    return openMilliseconds;
}

/** Creates the peers of a group with a single member: none of them responds. */
function createNoPeers() {
    return {
        requestVote: async () => undefined,
        appendEntries: async () => undefined,
        sendHeartbeat: async () => undefined,
        installSnapshot: async () => undefined,
        requestJoin: async () => undefined,
        requestReadIndex: async () => undefined,
        requestLeadership: async () => undefined,
    };
}

async function getFolderBytes(folder: string): Promise<number> {
    const names = await readdir(folder);
    const sizes = await Promise.all(names.map(async name => (await stat(join(folder, name))).size));
    return sizes.reduce((sum, size) => sum + size, 0);
}
