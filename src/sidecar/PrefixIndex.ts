/*
 * What the engine behind a sidecar holds in its cache, as far as its events and answers tell.
 */
import { CacheEvent } from "../backends";

/** An index over one engine's cached prefixes. */
export interface PrefixIndex {
    /** Counts how many of the chain's first hashes are surely cached. */
    getCachedBlocks(hashes: readonly string[]): number;
    /** Counts how many of the chain's first hashes are cached surely or likely: a gap may hide their removal. */
    getLikelyBlocks(hashes: readonly string[]): number;
    /** Takes in an engine's cache event; a gap in their numbers makes what it may hide unsure. */
    addEvent(event: CacheEvent): void;
    /**
     * Takes in what an answer said of its prompt: its first pieces were cached, and all of them are now.
     * @param incarnation - The engine's incarnation that answered; an answer of another one than the index's is dropped.
     */
    addResponse(hashes: readonly string[], cachedBlocks: number, incarnation?: string): void;
    /**
     * Drops everything, since the engine has restarted or its weights have changed.
     * @param incarnation - The engine's new incarnation, where it has restarted; events of earlier ones are dropped.
     */
    reset(incarnation?: string): void;
    /** Gets how many pieces the index holds. */
    getSize(): number;
}
