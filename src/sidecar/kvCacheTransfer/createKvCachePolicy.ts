/*
 * Compares the duration of an import with that of recomputation, and stores prefixes that are shared and expensive: the
 * longest prefix of a prompt that has been used twice, if computing it takes long. It is stored at its second use, while
 * the engine certainly holds it, since an engine can't export a block that it has evicted.
 */
import { LRUCache } from "lru-cache";
import { KvCachePolicy } from "./KvCachePolicy";
import { KvCachePolicyOptions } from "./KvCachePolicyOptions";

const defaultImportMillisecondsPerBlock = 15;
const defaultStoreAccessMilliseconds = 10;
// An import must take less than this share of the prefill time that it saves.
const maximumImportCostShare = 0.7;
const minimumMissingPrefillMilliseconds = 400;
const minimumStoredPrefillMilliseconds = 800;
const usesUntilStored = 2;
const maximumTrackedBlocks = 100_000;

/** Creates a policy without recorded uses. */
export function createKvCachePolicy(options: KvCachePolicyOptions): KvCachePolicy {
    const { prefillMillisecondsPerBlock } = options;
    const importMillisecondsPerBlock = options.importMillisecondsPerBlock ?? defaultImportMillisecondsPerBlock;
    const storeAccessMilliseconds = options.storeAccessMilliseconds ?? defaultStoreAccessMilliseconds;
    const useCounts = new LRUCache<string, number>({ max: maximumTrackedBlocks });
    const storedHashes = new LRUCache<string, true>({ max: maximumTrackedBlocks });
    return { shouldQueryStore, shouldImport, getImportTimeoutMilliseconds, recordUse, recordNotStored };

    function shouldQueryStore(blocks: number, cachedBlocks: number): boolean {
        return (blocks - cachedBlocks) * prefillMillisecondsPerBlock >= minimumMissingPrefillMilliseconds;
    }

    function shouldImport(storedBlocks: number, cachedBlocks: number): boolean {
        const importMilliseconds = storeAccessMilliseconds + storedBlocks * importMillisecondsPerBlock;
        const savedMilliseconds = (storedBlocks - cachedBlocks) * prefillMillisecondsPerBlock;
        return importMilliseconds < maximumImportCostShare * savedMilliseconds;
    }

    function getImportTimeoutMilliseconds(blocks: number, cachedBlocks: number): number {
        return maximumImportCostShare * (blocks - cachedBlocks) * prefillMillisecondsPerBlock;
    }

    function recordUse(hashes: readonly string[]): number {
        let sharedBlocks = 0;
        hashes.forEach((hash, index) => {
            const count = (useCounts.get(hash) ?? 0) + 1;
            useCounts.set(hash, count);
            sharedBlocks = count >= usesUntilStored ? index + 1 : sharedBlocks;
        });
        const lastHash = hashes[sharedBlocks - 1];
        const isExpensive = sharedBlocks * prefillMillisecondsPerBlock >= minimumStoredPrefillMilliseconds;
        if (lastHash === undefined || !isExpensive || storedHashes.has(lastHash)) {
            return 0;
        }
        storedHashes.set(lastHash, true);
        return sharedBlocks;
    }

    function recordNotStored(hash: string): void {
        storedHashes.delete(hash);
    }
}
