/*
 * Measures the cost of a control group when idle and under load, as slopes: processor time and bytes per heartbeat and
 * peer, processor time per commit, and bytes per commit and peer. All members share the process, so the processor time
 * covers both ends of each connection. Bytes are those of the encoded messages.
 */
import { countBytes } from "./countBytes";
import { Figure } from "./Figure";
import { MeasuredGroup, startMeasuredGroup } from "./startMeasuredGroup";

const commandBytes = 200;
/** The commits per second that warm up the JIT compiler. */
const warmUpRate = 1_000;

/**
 * Measures an idle group at several heartbeat intervals, and a group at several commit rates.
 * @param seconds - The duration of each measurement.
 */
export async function measureSlopes(seconds: number): Promise<Figure[]> {
    const figures: Figure[] = [];
    const heartbeats = [50, 100, 250];
    const points: { x: number; y: number; }[] = [];
    for (const heartbeatMilliseconds of heartbeats) {
        const group = await startMeasuredGroup(3, { timing: { heartbeatIntervalMilliseconds: heartbeatMilliseconds } });
        await proposeAtRate(group, warmUpRate, 1);
        const used = await measureProcessor(async () => sleep(seconds * 1_000));
        const peerCount = group.members.length - 1;
        points.push({ x: peerCount * 1_000 / heartbeatMilliseconds, y: used / seconds });
        await group.stop();
    }
    figures.push({ name: "log.heartbeat.processor", value: getSlope(points) * 1_000, unit: "us/heartbeat/peer" });
    const group = await startMeasuredGroup(3);
    const rates = [50, 200, 800];
    await proposeAtRate(group, warmUpRate, 1);
    const commitPoints: { x: number; y: number; }[] = [];
    for (const rate of rates) {
        const used = await measureProcessor(() => proposeAtRate(group, rate, seconds));
        commitPoints.push({ x: rate, y: used / seconds });
    }
    const lastIndex = group.leader.log.getStatus().lastIndex;
    figures.push({ name: "log.commit.processor", value: getSlope(commitPoints) * 1_000, unit: "us/commit/group" });
    figures.push(...countBytes(group.leader.storage.getEntries(lastIndex, 1), group.leader.address));
    await group.stop();
    return figures;
}

/** Gets the processor time of the whole process while a function runs, in milliseconds. */
async function measureProcessor(run: () => Promise<void>): Promise<number> {
    const before = process.cpuUsage();
    await run();
    const used = process.cpuUsage(before);
    return (used.user + used.system) / 1_000;
}

/** Proposes commands at a constant rate. */
async function proposeAtRate(group: MeasuredGroup, rate: number, seconds: number): Promise<void> {
    const command = Buffer.alloc(commandBytes, "x");
    const start = performance.now();
    const proposals: Promise<unknown>[] = [];
    for (let count = 0; count < rate * seconds; count += 1) {
        await sleep(start + count * 1_000 / rate - performance.now());
        proposals.push(group.leader.log.propose(command));
    }
    await Promise.all(proposals);
}

function sleep(milliseconds: number): Promise<void> {
    return milliseconds <= 0 ? Promise.resolve() : new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Gets the slope of a least-squares line. */
function getSlope(points: readonly { x: number; y: number; }[]): number {
    const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
    const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
    const covariance = points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0);
    const variance = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0);
    return covariance / variance;
}
