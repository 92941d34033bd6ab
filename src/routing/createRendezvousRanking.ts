/*
 * Rendezvous hashing over one list of candidates. The top instances of each key are kept in a bounded cache, so a key
 * that was used before costs one lookup regardless of the number of candidates; a new key costs one score for each
 * candidate.
 */
import { LRUCache } from "lru-cache";
import { ProcessRecord } from "../protocol";
import { createInstanceDigest } from "./createInstanceDigest";
import { getRendezvousScore } from "./getRendezvousScore";
import { RendezvousRanking } from "./RendezvousRanking";

const keyHalfHexDigits = 8;
const hexRadix = 16;
const maximumCachedKeys = 8_192;

/**
 * Creates a ranking over candidates.
 * @param candidates - The candidates, in any order.
 * @param count - The number of top instances to rank for each key.
 */
export function createRendezvousRanking(candidates: readonly ProcessRecord[], count: number): RendezvousRanking {
    const sorted = [...candidates].sort(compareIds);
    const digests = sorted.map(candidate => createInstanceDigest(candidate.instanceId));
    const cache = new LRUCache<string, readonly ProcessRecord[]>({ max: maximumCachedKeys });
    const bestScores = new Float64Array(count);
    const bestPositions = new Int32Array(count);
    return { getTopInstances };

    function getTopInstances(key: string): readonly ProcessRecord[] {
        const cached = cache.get(key);
        if (cached !== undefined) {
            return cached;
        }
        const topInstances = computeTopInstances(key);
        cache.set(key, topInstances);
        return topInstances;
    }

    /** Finds the highest scores by insertion into a short sorted list; at equal scores the lower id comes first. */
    function computeTopInstances(key: string): readonly ProcessRecord[] {
        const firstKeyHalf = Number.parseInt(key.slice(0, keyHalfHexDigits), hexRadix);
        const secondKeyHalf = Number.parseInt(key.slice(keyHalfHexDigits, 2 * keyHalfHexDigits), hexRadix);
        let filledCount = 0;
        for (let position = 0; position < digests.length; position++) {
            const score = getRendezvousScore(firstKeyHalf, secondKeyHalf, digests[position]!);
            if (filledCount < count || score > bestScores[filledCount - 1]!) {
                insert(position, score, filledCount);
                filledCount = Math.min(count, filledCount + 1);
            }
        }
        return Array.from(bestPositions.subarray(0, filledCount), position => sorted[position]!);
    }

    /** Inserts a score into the sorted list of the highest scores and drops the lowest where the list is full. */
    function insert(position: number, score: number, filledCount: number): void {
        let slot = Math.min(filledCount, count - 1);
        while (slot > 0 && bestScores[slot - 1]! < score) {
            bestScores[slot] = bestScores[slot - 1]!;
            bestPositions[slot] = bestPositions[slot - 1]!;
            slot--;
        }
        bestScores[slot] = score;
        bestPositions[slot] = position;
    }
}

/** Compares candidates by instance id. */
function compareIds(left: ProcessRecord, right: ProcessRecord): number {
    return left.instanceId < right.instanceId ? -1 : Number(left.instanceId > right.instanceId);
}
