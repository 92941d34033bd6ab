/*
 * Tracks the prefills in progress and the requests that wait for the blocks that these compute.
 */
import { QueuedRequest } from "./QueuedRequest";

/** Prevents requests that miss the same prefix from computing it concurrently. */
export interface PrefillCoalescer {
    /** Counts the leading hashes whose blocks the engine holds, including those that running requests have computed. */
    countCachedBlocks(hashes: readonly string[]): number;
    /** Records that a request has been admitted, so that all of its prompt is expected to be cached. */
    addPlanned(admitted: QueuedRequest): void;
    /** Records that an admitted request has computed its prompt or will not compute it. */
    removePlanned(admitted: QueuedRequest): void;
    /**
     * Counts the leading hashes whose blocks will be cached once all admitted requests have run.
     * @param hashes - The hashes of the prompt's blocks.
     * @param cachedBlocks - The number of leading blocks that are cached already.
     */
    countPlannedBlocks(hashes: readonly string[], cachedBlocks: number): number;
    /**
     * Gets the provider of a request: the running request that computes the first block missing from the cache.
     * @param hashes - The hashes of the prompt's blocks.
     * @param cachedBlocks - The number of leading blocks that are cached already.
     * @returns The provider; undefined if no running request computes the block.
     */
    getProvider(hashes: readonly string[], cachedBlocks: number): QueuedRequest | undefined;
    /** Makes a request wait for the prefill of its provider. */
    addDependent(waiting: QueuedRequest, provider: QueuedRequest): void;
    /** Ends a request's wait for its provider and returns whether the request was waiting for one. */
    removeDependent(waiting: QueuedRequest): boolean;
    /** Records that a request has started and computes the blocks that it misses. */
    beginPrefill(running: QueuedRequest): void;
    /** Records the end of a prefill and returns the requests that waited for it. */
    endPrefill(running: QueuedRequest, hasSucceeded: boolean): readonly QueuedRequest[];
    /** Records that a request whose prefill succeeded has ended, so that the engine may evict its blocks. */
    unpinBlocks(running: QueuedRequest): void;
    /** Gets the number of requests that wait for a prefill. */
    getDependentCount(): number;
    /** Gets the requests that wait for a prefill. */
    getDependents(): readonly QueuedRequest[];
}
