/*
 * What is worth taking from the store of kept KV cache, and what is worth giving to it.
 */

/** Decides on imports and exports of KV cache. */
export interface KeptCachePolicy {
    /** Tells whether a prompt misses enough for the store to be asked. */
    isWorthAsking(pieces: number, cachedPieces: number): boolean;
    /** Tells whether importing a kept prefix takes clearly less than computing what the engine lacks of it. */
    isWorthImporting(keptPieces: number, cachedPieces: number): boolean;
    /** Gets how long an import may take before computing what the engine lacks would have been better, in milliseconds. */
    getImportLimitMilliseconds(pieces: number, cachedPieces: number): number;
    /** Notes that a prompt was used; gets how many of its first pieces are worth keeping now, 0 where none are. */
    addUse(hashes: readonly string[]): number;
    /** Notes that a prefix could not be kept, so that it may be tried again. */
    noteNotKept(hash: string): void;
}
