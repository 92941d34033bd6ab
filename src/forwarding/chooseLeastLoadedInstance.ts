/*
 * Chooses a backend server of a plain service, for an even load of short requests: the least loaded one, and among
 * equals one in the entry process's own data centre. Where servers report how long work takes on their machines, the load
 * is the expected work: addresses servers of unequal speed near capacity, where an equal share overloads the slow ones.
 */
import { FleetInstance } from "../protocol";
import { RandomSource } from "../runtime";
import { LoadTracker } from "./LoadTracker";

/** The cost of a backend server in another data centre, in requests: less than one request. */
const remoteDataCentreCost = 0.5;
/** The cost of a backend server that failed recently, in requests: more than any queue. */
const suspectedInstanceCost = 1_000;
/** The plausible numbers of slots. Others would decide the mean alone, or overflow it. */
const minimumSlots = 1;
const maximumSlots = 65_536;

/**
 * Chooses the least loaded candidate.
 * @param candidates - The backend servers that may be chosen.
 * @param loads - Their load.
 * @param dataCentre - The entry process's own data centre.
 * @param random - Decides between equals.
 * @returns The backend server, or undefined where there are no candidates.
 */
export function chooseLeastLoadedInstance(
    candidates: readonly FleetInstance[],
    loads: LoadTracker,
    dataCentre: string,
    random: RandomSource,
): FleetInstance | undefined {
    const workFactors = candidates.map(({ instanceId }) => loads.getSpeed(instanceId)?.workFactor);
    const knownFactors = workFactors.filter(workFactor => workFactor !== undefined);
    const hasSpeeds = knownFactors.length > 0;
    // A server without reports counts as the fastest one. At light load it would otherwise get no requests beside a faster
    // server, and would never be measured.
    const unknownFactor = Math.min(1, ...knownFactors);
    const requestWork = hasSpeeds ? getRequestWork() : candidates.map(() => 1);
    const leastRequestWork = Math.min(...requestWork);
    let best: FleetInstance | undefined;
    let bestCost = Infinity;
    let isBestSuspected = true;
    for (const [index, candidate] of candidates.entries()) {
        const isSuspected = loads.isSuspected(candidate.instanceId);
        const cost = getCost(candidate, requestWork[index]!, isSuspected);
        // A queue at a slow server with few slots may cost more than a failure.
        const isBetter = hasSpeeds && isSuspected !== isBestSuspected ? isBestSuspected : cost < bestCost;
        if (!best || isBetter) {
            best = candidate;
            bestCost = cost;
            isBestSuspected = isSuspected;
        }
    }
    return best;

    function getCost(
        { instanceId, dataCentre: candidateDataCentre }: FleetInstance,
        work: number,
        isSuspected: boolean,
    ): number {
        const remoteCost = candidateDataCentre === dataCentre ? 0 : remoteDataCentreCost;
        const suspectedCost = isSuspected ? suspectedInstanceCost : 0;
        // Where speeds are known, the new request counts: an idle slow server takes longer for it than an idle fast one.
        const load = (loads.getRequestCount(instanceId) + (hasSpeeds ? 1 : 0)) * work;
        const cost = load + remoteCost * leastRequestWork + suspectedCost + random.getFraction() / 4 * leastRequestWork;
        return Number.isFinite(cost) ? cost : Number.MAX_VALUE;
    }

    /** Gets the work of one request at each candidate, in requests at the usual speed with the mean number of slots. */
    function getRequestWork(): readonly number[] {
        const slots = candidates.map(({ instanceId }) => getSlots(instanceId));
        const knownSlots = slots.filter(count => count !== undefined);
        const meanSlots = knownSlots.reduce((sum, count) => sum + count, 0) / knownSlots.length;
        return workFactors.map((workFactor = unknownFactor, index) => {
            const count = slots[index];
            return count === undefined ? workFactor : workFactor * meanSlots / count;
        });
    }

    function getSlots(instanceId: string): number | undefined {
        const slots = loads.getSlots(instanceId);
        return slots !== undefined && slots >= minimumSlots && slots <= maximumSlots ? slots : undefined;
    }
}
