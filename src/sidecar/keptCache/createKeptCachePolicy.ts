/*
 * Compares an import with recomputation, and keeps what is dear and shared: the longest beginning of a prompt that has
 * been used twice, where computing it takes long. It is kept at its second use, while the engine surely holds it, since
 * an engine that has evicted a piece can't export it any more.
 */
import { LRUCache } from "lru-cache";
import { KeptCachePolicy } from "./KeptCachePolicy";
import { KeptCachePolicyOptions } from "./KeptCachePolicyOptions";

const defaultImportMillisecondsPerPiece = 15;
const defaultAccessMilliseconds = 10;
const worthwhileShare = 0.7;
const leastMissingMilliseconds = 400;
const leastKeptMilliseconds = 800;
const usesUntilKept = 2;
const rememberedPieces = 100_000;

/** Creates a policy that has seen no use. */
export function createKeptCachePolicy(options: KeptCachePolicyOptions): KeptCachePolicy {
    const { prefillMillisecondsPerPiece } = options;
    const importMillisecondsPerPiece = options.importMillisecondsPerPiece ?? defaultImportMillisecondsPerPiece;
    const accessMilliseconds = options.accessMilliseconds ?? defaultAccessMilliseconds;
    const uses = new LRUCache<string, number>({ max: rememberedPieces });
    const kept = new LRUCache<string, true>({ max: rememberedPieces });
    return { isWorthAsking, isWorthImporting, getImportLimitMilliseconds, addUse, noteNotKept };

    function isWorthAsking(pieces: number, cachedPieces: number): boolean {
        return (pieces - cachedPieces) * prefillMillisecondsPerPiece >= leastMissingMilliseconds;
    }

    function isWorthImporting(keptPieces: number, cachedPieces: number): boolean {
        const importMilliseconds = accessMilliseconds + keptPieces * importMillisecondsPerPiece;
        const savedMilliseconds = (keptPieces - cachedPieces) * prefillMillisecondsPerPiece;
        return importMilliseconds < worthwhileShare * savedMilliseconds;
    }

    function getImportLimitMilliseconds(pieces: number, cachedPieces: number): number {
        return worthwhileShare * (pieces - cachedPieces) * prefillMillisecondsPerPiece;
    }

    function addUse(hashes: readonly string[]): number {
        let sharedPieces = 0;
        hashes.forEach((hash, index) => {
            const count = (uses.get(hash) ?? 0) + 1;
            uses.set(hash, count);
            sharedPieces = count >= usesUntilKept ? index + 1 : sharedPieces;
        });
        const last = hashes[sharedPieces - 1];
        const isDear = sharedPieces * prefillMillisecondsPerPiece >= leastKeptMilliseconds;
        if (last === undefined || !isDear || kept.has(last)) {
            return 0;
        }
        kept.set(last, true);
        return sharedPieces;
    }

    function noteNotKept(hash: string): void {
        kept.delete(hash);
    }
}
