/*
 * The store of kept KV cache, which outlives the engines' own caches.
 */
import { PrefixScope } from "../routing";

/** Keeps exported KV cache by workspace, model, weights version and prefix. */
export interface KvCacheStore {
    /**
     * Counts how many of a chain's first pieces the longest kept prefix covers; 0 where none is kept.
     * @param hashes - The chain, shortest prefix first.
     */
    countStoredBlocks(scope: PrefixScope, hashes: readonly string[], signal?: AbortSignal): Promise<number>;
    /**
     * Reads a prefix's KV cache.
     * @param hash - The hash of the prefix's last piece.
     * @returns The data; undefined where it is not kept, not reachable, or not what was written under this key.
     */
    read(scope: PrefixScope, hash: string, signal?: AbortSignal): Promise<Uint8Array | undefined>;
    /** Keeps a prefix's KV cache; tells whether the store took it. */
    write(scope: PrefixScope, hash: string, data: Uint8Array, signal?: AbortSignal): Promise<boolean>;
}
