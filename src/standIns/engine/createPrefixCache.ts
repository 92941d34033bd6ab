/*
 * An engine's bounded cache of prompt pieces. The piece used longest ago is evicted first; of one prompt, the last
 * piece counts as used before the first, so that a chain loses its end before its beginning.
 */
import { PrefixCache } from "./PrefixCache";

/**
 * Creates a cache.
 * @param capacity - How many pieces it holds.
 * @param onEvicted - Hears of each evicted piece.
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
