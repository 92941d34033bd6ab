/*
 * Measures the commit rate and latency with group commit, and with one disk write per commit. The two variants alternate
 * within one run, so that both are measured under the same disk conditions.
 */
import { CounterName } from "../../../src/metrics";
import { Figure } from "./Figure";
import { MeasuredGroup, startMeasuredGroup } from "./startMeasuredGroup";

const commandBytes = 200;
const turnCount = 3;

interface LoadTotals {
    commits: number;
    seconds: number;
    processorMilliseconds: number;
    syncs: number;
    latencies: number[];
}

/** Long timeouts prevent leader changes and expired proposals on a busy machine. */
const timing = {
    minimumElectionTimeoutMilliseconds: 5_000,
    maximumElectionTimeoutMilliseconds: 6_000,
    proposalTimeoutMilliseconds: 120_000,
};

/**
 * Measures groups of one and of three members.
 * @param secondsPerTurn - The duration of each turn.
 * @param onFigures - Called with the figures of each load as soon as it has been measured.
 */
export async function measureCommits(secondsPerTurn: number, onFigures: (figures: Figure[]) => void): Promise<void> {
    for (const memberCount of [1, 3]) {
        const grouped = await startMeasuredGroup(memberCount, { timing });
        const single = await startMeasuredGroup(memberCount, { timing, limits: { maximumBatchCommands: 1 } });
        for (const inFlight of [1, 64, 1_000]) {
            const loads = { grouped: createLoadTotals(), single: createLoadTotals() };
            for (let turn = 0; turn < turnCount; turn += 1) {
                await runLoad(grouped, inFlight, secondsPerTurn, loads.grouped);
                await runLoad(single, inFlight, secondsPerTurn, loads.single);
            }
            for (const [name, load] of Object.entries(loads)) {
                onFigures(createFigures(`log.commit.${name}.${memberCount}members.${inFlight}inFlight`, load));
            }
        }
        await grouped.stop();
        await single.stop();
    }
}

function createLoadTotals(): LoadTotals {
    return { commits: 0, seconds: 0, processorMilliseconds: 0, syncs: 0, latencies: [] };
}

/** Keeps a constant number of proposals in flight for a time. */
async function runLoad(group: MeasuredGroup, inFlight: number, seconds: number, load: LoadTotals): Promise<void> {
    const { log, metrics } = group.leader;
    const command = Buffer.alloc(commandBytes, "x");
    const syncsBefore = metrics.getCount(CounterName.DiskSyncs);
    const processorBefore = process.cpuUsage();
    const start = performance.now();
    const end = start + seconds * 1_000;
    await Promise.all(Array.from({ length: inFlight }, propose));
    const used = process.cpuUsage(processorBefore);
    load.seconds += (performance.now() - start) / 1_000;
    load.processorMilliseconds += (used.user + used.system) / 1_000;
    load.syncs += metrics.getCount(CounterName.DiskSyncs) - syncsBefore;

    async function propose(): Promise<void> {
        while (performance.now() < end) {
            const proposed = performance.now();
            const outcome = await log.propose(command);
            if (outcome.kind !== "committed") {
                throw new Error(`A proposal was not committed: ${outcome.kind}`);
            }
            load.commits += 1;
            load.latencies.push(performance.now() - proposed);
        }
    }
}

function createFigures(name: string, load: LoadTotals): Figure[] {
    const latencies = load.latencies.sort((first, second) => first - second);
    return [
        { name: `${name}.rate`, value: load.commits / load.seconds, unit: "commits/s" },
        { name: `${name}.p50`, value: latencies[Math.floor(latencies.length * 0.5)]!, unit: "ms" },
        { name: `${name}.p99`, value: latencies[Math.floor(latencies.length * 0.99)]!, unit: "ms" },
        { name: `${name}.commitsPerSync`, value: load.commits / load.syncs, unit: "commits/sync" },
        { name: `${name}.processor`, value: load.processorMilliseconds * 1_000 / load.commits, unit: "us/commit" },
    ];
}
