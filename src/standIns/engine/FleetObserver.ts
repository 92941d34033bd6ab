/*
 * The ground truth of an experiment: what every engine computes and caches, reported without lag.
 */

/** Receives the changes of all engines of an experiment. */
export interface FleetObserver {
    /**
     * Records that an engine computed a part of a prompt.
     * @param engine - The engine's name.
     * @param requestId - The request's id.
     * @param hashes - The hashes of the complete blocks that were computed.
     * @param tokens - The number of computed tokens.
     */
    recordComputed(engine: string, requestId: string, hashes: readonly string[], tokens: number): void;
    /** Records that a request's prompt is prefilled, or that the request was cancelled before. */
    recordPrefilled(engine: string, requestId: string): void;
    /** Records that an engine has stored a block. */
    recordStored(engine: string, hash: string): void;
    /** Records that an engine has evicted a block. */
    recordRemoved(engine: string, hash: string): void;
    /** Records that an engine's cache is empty. */
    recordCleared(engine: string): void;
}
