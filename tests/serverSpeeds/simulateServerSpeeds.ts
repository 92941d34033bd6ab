import { chooseLeastLoadedInstance, createLoadTracker } from "../../src/forwarding";
import { Clock, createRandomSource } from "../../src/runtime";
import { createTestInstance } from "../feed/createTestFeed";
import { createNoise } from "./createNoise";

/** The load of a simulation of plain requests. */
export interface SpeedSimulationOptions {
    seed: number;
    entryCount: number;
    /** The lasting work factors of the servers. */
    lastingFactors: readonly number[];
    slots: number;
    /** The requests in relation to the capacity of all servers. */
    load: number;
    /** How long it lasts; 14 s by default. */
    endMilliseconds?: number;
    /** The time from which requests count; 4 s by default. */
    warmUpMilliseconds?: number;
    /** Other lasting work factors of the servers from some time on. */
    swap?: { milliseconds: number; lastingFactors: readonly number[]; };
    /** Gets the fourth figure that a server reports; undefined for none. */
    getReportedPercent(actualPercent: number, milliseconds: number): number | undefined;
}

/** What a simulation has shown. */
export interface SpeedSimulationResult {
    /** The share of the requests that ended later than their objective. */
    lateShare: number;
    percentile95Milliseconds: number;
    /** The share of the requests that each server got. */
    shares: readonly number[];
    /** The mean difference between the known and the lasting work factor. */
    meanError: number;
    /** The longest time for which a server got no request. */
    longestGapMilliseconds: number;
    /** The work factors that entry processes know of servers at the end. */
    lastWorkFactors: readonly number[];
}

interface Request {
    entry: number;
    startMilliseconds: number;
    remainingMilliseconds: number;
}

const workMilliseconds = 43;
const objectiveMilliseconds = 200;

/** Plays requests of a plain service through the placement of many entry processes, in steps of one millisecond. */
export function simulateServerSpeeds(options: SpeedSimulationOptions): SpeedSimulationResult {
    const { entryCount, lastingFactors, slots, endMilliseconds = 14_000, warmUpMilliseconds = 4_000 } = options;
    const random = createRandomSource(options.seed);
    let now = 0;
    const clock: Clock = {
        getMonotonicMilliseconds: () => now,
        getWallMilliseconds: () => now,
        sleep: () => new Promise(() => undefined),
    };
    const servers = lastingFactors.map((lastingFactor, index) => ({
        instance: createTestInstance({ instanceId: `server-${index}` }),
        lastingFactor,
        getFactor: createNoise(lastingFactor, random),
        requests: new Array<Request>(),
        sentCount: 0,
        lastSentMilliseconds: 0,
        longestGapMilliseconds: 0,
    }));
    const instances = servers.map(({ instance }) => instance);
    const entries = Array.from(
        { length: entryCount },
        () => createLoadTracker(clock, () => false, { getOthers: () => undefined }),
    );
    const capacity = lastingFactors.reduce((sum, factor) => sum + slots / factor, 0) / workMilliseconds;
    const durations: number[] = [];
    const errors: number[] = [];
    let nextArrival = 0;
    for (; now < endMilliseconds; now++) {
        for (; nextArrival <= now; nextArrival -= Math.log(1 - random.getFraction()) / (capacity * options.load)) {
            sendRequest();
        }
        if (now === options.swap?.milliseconds) {
            servers.forEach((server, index) =>
                server.getFactor = createNoise(options.swap!.lastingFactors[index]!, random)
            );
        }
        servers.forEach(work);
    }
    servers.forEach(recordGap);
    const sorted = durations.sort((left, right) => left - right);
    return {
        lateShare: sorted.filter(duration => duration > objectiveMilliseconds).length / sorted.length,
        percentile95Milliseconds: sorted[Math.floor(sorted.length * 0.95)]!,
        shares: servers.map(({ sentCount }) => sentCount / sorted.length),
        meanError: errors.reduce((sum, error) => sum + error, 0) / errors.length,
        longestGapMilliseconds: Math.max(...servers.map(({ longestGapMilliseconds }) => longestGapMilliseconds)),
        lastWorkFactors: entries.flatMap(loads => instances.map(({ instanceId }) => loads.getWorkFactor(instanceId))),
    };

    function recordGap(server: typeof servers[number]): void {
        server.longestGapMilliseconds = Math.max(server.longestGapMilliseconds, now - server.lastSentMilliseconds);
        server.lastSentMilliseconds = now;
    }

    function sendRequest(): void {
        const entry = random.getInteger(entryCount);
        const loads = entries[entry]!;
        const chosen = chooseLeastLoadedInstance(instances, loads, instances[0]!.dataCentre, random)!;
        const server = servers.find(({ instance }) => instance === chosen)!;
        recordGap(server);
        loads.recordSent(chosen.instanceId, 0, 0);
        const remainingMilliseconds = workMilliseconds * (0.5 + random.getFraction());
        server.requests.push({ entry, startMilliseconds: now, remainingMilliseconds });
        if (now > warmUpMilliseconds) {
            server.sentCount += 1;
            errors.push(Math.abs(loads.getWorkFactor(chosen.instanceId) - server.lastingFactor));
        }
    }

    function work({ instance: { instanceId }, getFactor, requests }: typeof servers[number]): void {
        const factor = getFactor();
        const running = requests.slice(0, slots);
        running.forEach(request => request.remainingMilliseconds -= 1 / factor);
        for (const request of running.filter(({ remainingMilliseconds }) => remainingMilliseconds <= 0)) {
            requests.splice(requests.indexOf(request), 1);
            const loads = entries[request.entry]!;
            const workPercent = options.getReportedPercent(Math.round(100 * factor), now);
            loads.recordReport(instanceId, {
                running: Math.min(slots, requests.length),
                waiting: Math.max(0, requests.length - slots),
                slots,
                ...workPercent === undefined ? {} : { workPercent },
            });
            loads.recordAttemptEnd(instanceId, 0);
            if (request.startMilliseconds > warmUpMilliseconds) {
                durations.push(now - request.startMilliseconds);
            }
        }
    }
}
