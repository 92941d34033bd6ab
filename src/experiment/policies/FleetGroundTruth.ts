/*
 * What all engines of an experiment hold and have to do, without lag.
 */
import { PlacementRequest } from "../../routing";
import { FleetObserver } from "../../standIns";

/** The ground truth of an experiment. */
export interface FleetGroundTruth extends FleetObserver {
    /** Notes that a request is on its way to an engine, so that it counts from now on. */
    addAssignment(engine: string, request: PlacementRequest): void;
    /** Counts how many of a chain's first pieces an engine holds or is about to compute. */
    countCachedBlocks(engine: string, hashes: readonly string[]): number;
    /**
     * Gets how many prompt tokens an engine has still to compute.
     * @param isShortOnly - Leaves out long prefills, which let short ones go first.
     */
    getPendingTokens(engine: string, isShortOnly?: boolean): number;
    /** Tells whether a prefill of so many tokens is a long one. */
    isLong(tokens: number): boolean;
    /** Gets how many requests an engine has whose prompt is not done. */
    getPendingRequests(engine: string): number;
    /** Gets how many prompt tokens were computed so far. */
    getComputedTokens(): number;
    /** Gets how many of them another engine, or the same one, held at the time. */
    getWastedTokens(): number;
}
