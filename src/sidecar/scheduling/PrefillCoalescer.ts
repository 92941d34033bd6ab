/*
 * Which prefills are in progress, and which requests wait for what these compute.
 */
import { QueuedRequest } from "./QueuedRequest";

/** Keeps requests that share a missed prefix from computing it side by side. */
export interface PrefillCoalescer {
    /** Counts how many of the chain's first hashes the engine holds, those of running requests included. */
    countCachedBlocks(hashes: readonly string[]): number;
    /** Notes that a request has been admitted, so that all of its prompt will be held. */
    addPlanned(admitted: QueuedRequest): void;
    /** Notes that an admitted request has computed its prompt or never will. */
    removePlanned(admitted: QueuedRequest): void;
    /** Counts how many of the chain's first hashes will be held once all that was admitted has run, from a count on. */
    countPlannedBlocks(hashes: readonly string[], cachedBlocks: number): number;
    /** Gets the running request that computes the first piece that a request lacks; undefined where none does. */
    getProvider(hashes: readonly string[], cachedBlocks: number): QueuedRequest | undefined;
    /** Makes a request wait for another's prefill. */
    addDependent(waiting: QueuedRequest, provider: QueuedRequest): void;
    /** Lets go of a request that waits for a prefill; tells whether it did. */
    removeDependent(waiting: QueuedRequest): boolean;
    /** Notes that a request has started and computes what it lacks. */
    beginPrefill(running: QueuedRequest): void;
    /** Notes that a prefill has ended; gets the requests that waited for it. */
    endPrefill(running: QueuedRequest, hasSucceeded: boolean): readonly QueuedRequest[];
    /** Notes that a request has ended, so that the engine may evict its pieces. */
    unpinBlocks(running: QueuedRequest): void;
    /** Gets how many requests wait for a prefill. */
    getDependentCount(): number;
    /** Gets the requests that wait for a prefill. */
    getDependents(): readonly QueuedRequest[];
}
