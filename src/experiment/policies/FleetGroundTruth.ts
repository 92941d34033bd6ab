/*
 * The actual state of all engines of an experiment, without the delay of reports over the network.
 */
import { PlacementRequest } from "../../routing";
import { FleetObserver } from "../../standIns";

/** The cached blocks, the pending prefills and the computed tokens of all engines. */
export interface FleetGroundTruth extends FleetObserver {
    /**
     * Records that a request is being sent to an engine; it counts as pending from now on.
     * @param engine - The engine's name.
     * @param request - The request.
     */
    addAssignment(engine: string, request: PlacementRequest): void;
    /**
     * Counts the leading blocks of a prefix chain that an engine holds or is about to compute.
     * @param engine - The engine's name.
     * @param hashes - The chain's hashes, one for each block.
     */
    countCachedBlocks(engine: string, hashes: readonly string[]): number;
    /**
     * Gets the number of prompt tokens that an engine has still to compute.
     * @param engine - The engine's name.
     * @param isShortOnly - Whether to leave out long prefills, before which the engine schedules short ones.
     */
    getPendingTokens(engine: string, isShortOnly?: boolean): number;
    /**
     * Returns whether a prefill counts as long.
     * @param tokens - The number of tokens to compute.
     */
    isLong(tokens: number): boolean;
    /**
     * Gets the number of an engine's requests whose prefill has not ended.
     * @param engine - The engine's name.
     */
    getPendingRequests(engine: string): number;
    /** Gets the number of prompt tokens that all engines have computed so far. */
    getComputedTokens(): number;
    /** Gets the number of computed tokens whose blocks an engine, the same or another one, held at that time. */
    getWastedTokens(): number;
}
