/*
 * Chooses a backend server of a plain service. It answers an even load of short requests: the least loaded goes first, and
 * one in the entry's own data centre among equals.
 */
import { FleetInstance } from "../protocol";
import { RandomSource } from "../runtime";
import { LoadTracker } from "./LoadTracker";

/** What a backend server in another data centre counts more, in requests: less than one request in front. */
const remoteDataCentreCost = 0.5;
/** What a backend server that failed lately counts more, in requests: more than any queue. */
const suspectedInstanceCost = 1_000;

/**
 * Chooses among candidates; undefined where there are none.
 * @param candidates - The backend servers that may be chosen.
 * @param loads - Their load.
 * @param dataCentre - The entry's own data centre.
 * @param random - Decides between equals.
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
        return loads.getRequestCount(instanceId) + remoteCost + suspectedCost + random.getUnit() / 4;
    }
}
