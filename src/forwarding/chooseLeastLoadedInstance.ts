/*
 * Chooses a backend server of a plain service, for an even load of short requests: the least loaded one, and among
 * equals one in the entry process's own data centre.
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
    let best: FleetInstance | undefined;
    let bestCost = Infinity;
    for (const candidate of candidates) {
        const cost = getCost(candidate);
        if (cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;

    function getCost({ instanceId, dataCentre: candidateDataCentre }: FleetInstance): number {
        const remoteCost = candidateDataCentre === dataCentre ? 0 : remoteDataCentreCost;
        const suspectedCost = loads.isSuspected(instanceId) ? suspectedInstanceCost : 0;
        return loads.getRequestCount(instanceId) + remoteCost + suspectedCost + random.getFraction() / 4;
    }
}
