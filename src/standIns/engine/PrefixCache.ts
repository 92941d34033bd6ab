/*
 * The interface of an engine's prefix cache.
 */

/** A bounded LRU cache of prompt blocks, keyed by chained hash. */
export interface PrefixCache {
    /** Counts the leading blocks of a chain that are cached. */
    countCached(hashes: readonly string[]): number;
    /** Marks the cached blocks of a chain as recently used. */
    touch(hashes: readonly string[]): void;
    /**
     * Adds a block and evicts others if the cache is full.
     * @param hash - The hash of the block.
     * @param parent - The hash of the preceding block; empty for the first.
     * @returns Whether the block is new.
     */
    add(hash: string, parent: string): boolean;
    /** Gets the chain that ends with a block, as far back as its blocks are cached. */
    getChain(hash: string): readonly string[];
    /** Gets the hashes of all cached blocks, least recently used first. */
    getHashes(): readonly string[];
    /** Removes all blocks, without reporting them as evicted. */
    clear(): void;
}
