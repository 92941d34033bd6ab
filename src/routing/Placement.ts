/*
 * The choice of backend servers for a request.
 */
import { ProcessRecord } from "../protocol";
import { PlacementRequest } from "./PlacementRequest";
import { RoutingObservation } from "./RoutingObservation";

/** Ranks the sidecars that could run a request. */
export interface Placement {
    /**
     * Ranks the candidates, best first. For a request with a prefix, every entry process computes the same ranking from
     * the same candidates, except where recent hints or failures change it.
     * @param request - The request to place.
     * @param candidates - The records of the sidecars that serve the model or service, in any order.
     * @returns The ranked sidecars without the excluded ones; empty where none is left.
     */
    rank(request: PlacementRequest, candidates: readonly ProcessRecord[]): readonly ProcessRecord[];
    /**
     * Uses the outcome of an attempt in later rankings.
     * @param observation - What the entry process has observed.
     */
    addObservation(observation: RoutingObservation): void;
}
