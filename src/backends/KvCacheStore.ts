/*
 * The external store of KV cache. Its entries survive evictions and restarts of the engines.
 */
import { PrefixScope } from "../routing";

/** Stores exported KV cache by workspace, model, weights version and prefix. */
export interface KvCacheStore {
    /**
     * Counts the leading blocks of a chain that the longest stored prefix covers.
     * @param scope - The workspace, model and weights version.
     * @param hashes - The chain, shortest prefix first.
     * @param signal - Cancels the call.
     * @returns The number of blocks; 0 if no prefix is stored or the store does not respond.
     */
    countStoredBlocks(scope: PrefixScope, hashes: readonly string[], signal?: AbortSignal): Promise<number>;
    /**
     * Reads a prefix's KV cache.
     * @param scope - The workspace, model and weights version.
     * @param hash - The hash of the prefix's last block.
     * @param signal - Cancels the call.
     * @returns The data; undefined if it is not stored, the store does not respond, or the digest does not match.
     */
    read(scope: PrefixScope, hash: string, signal?: AbortSignal): Promise<Uint8Array | undefined>;
    /**
     * Stores a prefix's KV cache.
     * @param scope - The workspace, model and weights version.
     * @param hash - The hash of the prefix's last block.
     * @param data - The exported KV cache.
     * @param signal - Cancels the call.
     * @returns Whether the store accepted the data.
     */
    write(scope: PrefixScope, hash: string, data: Uint8Array, signal?: AbortSignal): Promise<boolean>;
}
