/*
 * The choice of backend servers for a prefix.
 */
import { ProcessRecord } from "../protocol";
import { PlacementRequest } from "./PlacementRequest";
import { RoutingObservation } from "./RoutingObservation";

/** Ranks the companions that could run a request. */
export interface Placement {
    /**
     * Ranks candidates, best first; empty where there are none. Every entry gives the same answer from the same
     * candidates, but for hints that it has heard lately.
     */
    rank(request: PlacementRequest, candidates: readonly ProcessRecord[]): readonly ProcessRecord[];
    /** Takes in what a companion said when it refused or answered. */
    addObservation(observation: RoutingObservation): void;
}
