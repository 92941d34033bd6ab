/*
 * What is worth taking from the store of kept KV cache, and what is worth giving to it.
 */

/** Decides on imports and exports of KV cache. */
export interface KvCachePolicy {
    /** Tells whether a prompt misses enough for the store to be asked. */
    shouldQueryStore(blocks: number, cachedBlocks: number): boolean;
    /** Tells whether importing a kept prefix takes clearly less than computing what the engine lacks of it. */
    shouldImport(storedBlocks: number, cachedBlocks: number): boolean;
    /** Gets how long an import may take before computing what the engine lacks would have been better, in milliseconds. */
    getImportTimeoutMilliseconds(blocks: number, cachedBlocks: number): number;
    /** Notes that a prompt was used; gets how many of its first pieces are worth keeping now, 0 where none are. */
    recordUse(hashes: readonly string[]): number;
    /** Notes that a prefix could not be kept, so that it may be tried again. */
    recordNotStored(hash: string): void;
}
