/*
 * The ground truth of an experiment: what every engine holds and computes, without lag.
 */

/** Sees all engines of an experiment. */
export interface FleetObserver {
    /**
     * Takes in that an engine computed some of a prompt.
     * @param engine - The engine's name.
     * @param requestId - The request's id.
     * @param hashes - The hashes of the whole pieces that were computed.
     * @param tokens - How many tokens were computed in all.
     */
    recordComputed(engine: string, requestId: string, hashes: readonly string[], tokens: number): void;
    /** Takes in that a request's prompt is done, or that the request has ended before. */
    recordPrefilled(engine: string, requestId: string): void;
    /** Takes in that an engine holds a piece now. */
    recordStored(engine: string, hash: string): void;
    /** Takes in that an engine has evicted a piece. */
    recordRemoved(engine: string, hash: string): void;
    /** Takes in that an engine holds nothing any more. */
    recordCleared(engine: string): void;
}
