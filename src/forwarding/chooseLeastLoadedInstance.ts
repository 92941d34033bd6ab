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
    const workFactors = candidates.map(({ instanceId }) => loads.getWorkFactor(instanceId));
    const hasSpeeds = workFactors.some(workFactor => workFactor !== 1);
    const meanSlots = hasSpeeds ? getMeanSlots() : 1;
    let best: FleetInstance | undefined;
    let bestCost = Infinity;
    for (const [index, candidate] of candidates.entries()) {
        const cost = getCost(candidate, workFactors[index]!);
        if (cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;

    function getCost({ instanceId, dataCentre: candidateDataCentre }: FleetInstance, workFactor: number): number {
        const remoteCost = candidateDataCentre === dataCentre ? 0 : remoteDataCentreCost;
        const suspectedCost = loads.isSuspected(instanceId) ? suspectedInstanceCost : 0;
        const load = hasSpeeds ? getExpectedWork(instanceId, workFactor) : loads.getRequestCount(instanceId);
        return load + remoteCost + suspectedCost + random.getFraction() / 4;
    }

    /**
     * Gets the work that is ahead of the end of another request, in requests at the usual speed on a server with the mean
     * number of slots. The other request counts: an idle slow server takes longer for it than an idle fast one.
     */
    function getExpectedWork(instanceId: string, workFactor: number): number {
        const slots = getSlots(instanceId) ?? meanSlots;
        return (loads.getRequestCount(instanceId) + 1) * workFactor * meanSlots / slots;
    }

    function getMeanSlots(): number {
        const known = candidates.map(({ instanceId }) => getSlots(instanceId)).filter(slots => slots !== undefined);
        return known.length > 0 ? known.reduce((sum, slots) => sum + slots, 0) / known.length : 1;
    }

    function getSlots(instanceId: string): number | undefined {
        const slots = loads.getSlots(instanceId) ?? 0;
        return slots > 0 ? slots : undefined;
    }
}
