/*
 * The transfer of KV cache between an engine and the KV cache store.
 */
import { PrefixScope } from "../../routing";

/** Imports prefixes that the engine lacks, and stores those that are expensive to compute. */
export interface KvCacheTransfer {
    /**
     * Imports the stored prefix of a prompt if that is faster than computing it.
     * @param scope - The workspace, model and version of the prompt.
     * @param hashes - The prompt's prefix hashes, shortest prefix first.
     * @param signal - Aborts the import.
     * @returns How many of the prompt's first blocks were imported; 0 if nothing was imported.
     */
    importPrefix(scope: PrefixScope, hashes: readonly string[], signal: AbortSignal): Promise<number>;
    /**
     * Stores the prefix of a prompt that has just been computed if the policy chooses it; at most one at a time.
     * @param scope - The workspace, model and version of the prompt.
     * @param hashes - The prompt's prefix hashes, shortest prefix first.
     * @param signal - Aborts the transfer.
     */
    storePrefix(scope: PrefixScope, hashes: readonly string[], signal: AbortSignal): Promise<void>;
}
