/*
 * An engine's bounded cache of prompt blocks with LRU eviction. When a chain is used, its last block is marked first
 * and its first block last, so that a chain is evicted from its end.
 */
import { PrefixCache } from "./PrefixCache";

/**
 * Creates an empty cache.
 * @param capacity - The maximum number of blocks.
 * @param onEvicted - Called with the hash of each evicted block.
 */
export function createPrefixCache(capacity: number, onEvicted: (hash: string) => void): PrefixCache {
    const parents = new Map<string, string>();
    return {
        countCached,
        touch,
        add,
        getChain,
        getHashes: () => [...parents.keys()],
        clear: () => parents.clear(),
    };

    function countCached(hashes: readonly string[]): number {
        const missing = hashes.findIndex(hash => !parents.has(hash));
        return missing === -1 ? hashes.length : missing;
    }

    function touch(hashes: readonly string[]): void {
        for (const hash of hashes.toReversed()) {
            const parent = parents.get(hash);
            if (parent !== undefined) {
                parents.delete(hash);
                parents.set(hash, parent);
            }
        }
    }

    function add(hash: string, parent: string): boolean {
        if (parents.has(hash)) {
            return false;
        }
        parents.set(hash, parent);
        while (parents.size > capacity) {
            evictLeastRecentlyUsed();
        }
        return true;
    }

    function evictLeastRecentlyUsed(): void {
        const [oldest] = parents.keys();
        parents.delete(oldest!);
        onEvicted(oldest!);
    }

    function getChain(hash: string): readonly string[] {
        const chain: string[] = [];
        for (let current = hash; current !== "" && parents.has(current); current = parents.get(current)!) {
            chain.unshift(current);
        }
        return chain;
    }
}
