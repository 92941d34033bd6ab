/*
 * Compares an import with recomputation, and keeps what is dear and shared: the longest beginning of a prompt that has
 * been used twice, where computing it takes long. It is kept at its second use, while the engine surely holds it, since
 * an engine that has evicted a piece can't export it any more.
 */
import { LRUCache } from "lru-cache";
import { KvCachePolicy } from "./KvCachePolicy";
import { KvCachePolicyOptions } from "./KvCachePolicyOptions";

const defaultImportMillisecondsPerBlock = 15;
const defaultStoreAccessMilliseconds = 10;
const maximumImportCostShare = 0.7;
const minimumMissingPrefillMilliseconds = 400;
const minimumStoredPrefillMilliseconds = 800;
const usesUntilStored = 2;
const maximumTrackedBlocks = 100_000;

/** Creates a policy that has seen no use. */
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
