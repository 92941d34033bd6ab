/*
 * An index of the blocks in an engine's prefix cache, built from the engine's cache events and responses.
 */
import { CacheEvent } from "../backends";

/** An index of one engine's cached prefixes. */
export interface PrefixIndex {
    /**
     * Counts the leading blocks of a prompt that are certain to be cached.
     * @param hashes - The prompt's prefix hashes, shortest prefix first.
     */
    getCachedBlocks(hashes: readonly string[]): number;
    /**
     * Counts the leading blocks of a prompt that are certain or likely to be cached. A block is only likely to be cached
     * when its removal may have been among lost events.
     * @param hashes - The prompt's prefix hashes, shortest prefix first.
     */
    getLikelyBlocks(hashes: readonly string[]): number;
    /**
     * Applies a cache event of the engine. A gap in the event numbers makes all blocks uncertain, since the lost events may
     * have removed them.
     */
    addEvent(event: CacheEvent): void;
    /**
     * Applies the cache usage of a response: the first blocks of its prompt were cached, and all of them are now.
     * @param hashes - The prompt's prefix hashes, shortest prefix first.
     * @param cachedBlocks - How many of the first blocks the engine found cached.
     * @param incarnation - The engine's incarnation that responded; responses of a retired incarnation are ignored.
     */
    addResponse(hashes: readonly string[], cachedBlocks: number, incarnation?: string): void;
    /**
     * Removes all blocks, because the engine has restarted or its weights have changed.
     * @param incarnation - The engine's new incarnation, if it has restarted; events of earlier ones are then ignored.
     */
    reset(incarnation?: string): void;
    /** Gets the number of blocks in the index. */
    getSize(): number;
}
