/*
 * A sidecar's use of the store of kept KV cache.
 */
import { PrefixScope } from "../../routing";

/** Imports what an engine lacks, and keeps what is dear. */
export interface KvCacheTransfer {
    /**
     * Imports the beginning of a prompt where that takes less than computing it.
     * @returns How many of the prompt's first pieces the engine now holds by import; 0 where nothing was imported.
     */
    importPrefix(scope: PrefixScope, hashes: readonly string[], signal: AbortSignal): Promise<number>;
    /** Keeps the beginning of a prompt that has just been computed, where it is worth it; at most one at a time. */
    storePrefix(scope: PrefixScope, hashes: readonly string[], signal: AbortSignal): Promise<void>;
}
