/*
 * Transfers KV cache between an engine and the store. The store's client keys entries by workspace, model, version and
 * prefix and checks their digest, so that nothing of another scope is imported. A failure only costs a recomputation. An
 * import that times out is abandoned, and imports then pause.
 */
import { PrefixScope } from "../../routing";
import { KvCacheTransfer } from "./KvCacheTransfer";
import { KvCacheTransferOptions } from "./KvCacheTransferOptions";

const pauseAfterTimeoutMilliseconds = 10_000;

/** Creates the KV cache transfer of a sidecar. */
export function createKvCacheTransfer(options: KvCacheTransferOptions): KvCacheTransfer {
    const { store, adapter, clock, index, policy } = options;
    let pausedUntilMilliseconds = -Infinity;
    let isStoring = false;
    return { importPrefix, storePrefix };

    async function importPrefix(scope: PrefixScope, hashes: readonly string[], signal: AbortSignal): Promise<number> {
        const cachedBlocks = index.getLikelyBlocks(hashes);
        const isPaused = clock.getMonotonicMilliseconds() < pausedUntilMilliseconds;
        if (isPaused || !policy.shouldQueryStore(hashes.length, cachedBlocks)) {
            return 0;
        }
        const importEnded = new AbortController();
        const timeoutMilliseconds = policy.getImportTimeoutMilliseconds(hashes.length, cachedBlocks);
        const importSignal = AbortSignal.any([signal, importEnded.signal]);
        const timeout = clock.sleep(timeoutMilliseconds, importSignal).then(() => undefined);
        try {
            const blocks = await Promise.race([tryImport(scope, hashes, cachedBlocks, importSignal), timeout]);
            if (blocks === undefined && !signal.aborted) {
                pausedUntilMilliseconds = clock.getMonotonicMilliseconds() + pauseAfterTimeoutMilliseconds;
                options.onFailure?.();
            }
            return blocks ?? 0;
        }
        finally {
            importEnded.abort();
        }
    }

    async function tryImport(
        scope: PrefixScope,
        hashes: readonly string[],
        cachedBlocks: number,
        signal: AbortSignal,
    ): Promise<number> {
        const storedBlocks = await store.countStoredBlocks(scope, hashes, signal);
        hashes.slice(storedBlocks).forEach(policy.recordNotStored);
        if (!policy.shouldImport(storedBlocks, cachedBlocks)) {
            return 0;
        }
        const lastHash = hashes[storedBlocks - 1]!;
        const data = await store.read(scope, lastHash, signal);
        if (data === undefined || signal.aborted) {
            policy.recordNotStored(lastHash);
            return 0;
        }
        const isImported = await adapter.importCache(hashes.slice(0, storedBlocks), data, signal);
        if (!isImported && !signal.aborted) {
            options.onFailure?.();
        }
        return isImported ? storedBlocks : 0;
    }

    async function storePrefix(scope: PrefixScope, hashes: readonly string[], signal: AbortSignal): Promise<void> {
        const blocks = policy.recordUse(hashes);
        if (blocks === 0) {
            return;
        }
        const lastHash = hashes[blocks - 1]!;
        if (isStoring || !await tryStore(scope, lastHash, signal)) {
            policy.recordNotStored(lastHash);
        }
    }

    async function tryStore(scope: PrefixScope, hash: string, signal: AbortSignal): Promise<boolean> {
        isStoring = true;
        try {
            const data = await adapter.exportCache(hash, signal);
            return data !== undefined && await store.write(scope, hash, data, signal);
        }
        finally {
            isStoring = false;
        }
    }
}
