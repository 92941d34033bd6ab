/*
 * Moves KV cache between an engine and the store. The store's client keys entries by workspace, model, version and
 * prefix and checks their digest, so that nothing of another scope is imported; whatever fails costs a recomputation and
 * nothing else. An import that takes too long is given up, and the store is then left alone for a while.
 */
import { PrefixScope } from "../../routing";
import { KeptCache } from "./KeptCache";
import { KeptCacheOptions } from "./KeptCacheOptions";

const pauseMilliseconds = 10_000;

/** Creates a sidecar's use of the store. */
export function createKeptCache(options: KeptCacheOptions): KeptCache {
    const { store, adapter, clock, index, policy } = options;
    let pausedUntilMilliseconds = -Infinity;
    let isKeeping = false;
    return { importPrefix, keepPrefix };

    async function importPrefix(scope: PrefixScope, hashes: readonly string[], signal: AbortSignal): Promise<number> {
        const cachedPieces = index.getLikelyPieces(hashes);
        const isPaused = clock.getMonotonicMilliseconds() < pausedUntilMilliseconds;
        if (isPaused || !policy.isWorthAsking(hashes.length, cachedPieces)) {
            return 0;
        }
        const ended = new AbortController();
        const limit = policy.getImportLimitMilliseconds(hashes.length, cachedPieces);
        const either = AbortSignal.any([signal, ended.signal]);
        const expired = clock.sleep(limit, either).then(() => undefined);
        try {
            const pieces = await Promise.race([tryImport(scope, hashes, cachedPieces, either), expired]);
            if (pieces === undefined && !signal.aborted) {
                pausedUntilMilliseconds = clock.getMonotonicMilliseconds() + pauseMilliseconds;
                options.onFailure?.();
            }
            return pieces ?? 0;
        }
        finally {
            ended.abort();
        }
    }

    async function tryImport(
        scope: PrefixScope,
        hashes: readonly string[],
        cachedPieces: number,
        signal: AbortSignal,
    ): Promise<number> {
        const keptPieces = await store.countKept(scope, hashes, signal);
        hashes.slice(keptPieces).forEach(policy.noteNotKept);
        if (!policy.isWorthImporting(keptPieces, cachedPieces)) {
            return 0;
        }
        const last = hashes[keptPieces - 1]!;
        const data = await store.read(scope, last, signal);
        if (data === undefined || signal.aborted) {
            policy.noteNotKept(last);
            return 0;
        }
        const isImported = await adapter.importCache(hashes.slice(0, keptPieces), data, signal);
        if (!isImported && !signal.aborted) {
            options.onFailure?.();
        }
        return isImported ? keptPieces : 0;
    }

    async function keepPrefix(scope: PrefixScope, hashes: readonly string[], signal: AbortSignal): Promise<void> {
        const pieces = policy.addUse(hashes);
        if (pieces === 0) {
            return;
        }
        const last = hashes[pieces - 1]!;
        if (isKeeping || !await tryKeep(scope, last, signal)) {
            policy.noteNotKept(last);
        }
    }

    async function tryKeep(scope: PrefixScope, hash: string, signal: AbortSignal): Promise<boolean> {
        isKeeping = true;
        try {
            const data = await adapter.exportCache(hash, signal);
            return data !== undefined && await store.write(scope, hash, data, signal);
        }
        finally {
            isKeeping = false;
        }
    }
}
