/*
 * The policy for importing prefixes from the KV cache store and for storing them there.
 */

/** Decides which prefixes are imported and stored. Lengths are in blocks, counted from the start of a prompt. */
export interface KvCachePolicy {
    /** Tells whether enough of a prompt is uncached for the store to be queried. */
    shouldQueryStore(blocks: number, cachedBlocks: number): boolean;
    /** Tells whether importing a stored prefix is clearly faster than computing its uncached part. */
    shouldImport(storedBlocks: number, cachedBlocks: number): boolean;
    /** Gets the time in milliseconds after which computing the uncached part is preferable to an import. */
    getImportTimeoutMilliseconds(blocks: number, cachedBlocks: number): number;
    /** Records the use of a prompt, and gets how many of its first blocks should be stored now; 0 if none. */
    recordUse(hashes: readonly string[]): number;
    /** Records that a prefix is not in the store, so that storing it may be tried again. */
    recordNotStored(hash: string): void;
}
