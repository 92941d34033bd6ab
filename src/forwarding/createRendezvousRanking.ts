/*
 * Ranks places for keys by rendezvous hashing, with the digests of keys and places computed once.
 */
import { LRUCache } from "lru-cache";
import { createInstanceDigest, getRendezvousScore, InstanceDigest } from "../routing";
import { RendezvousRanking } from "./RendezvousRanking";

/** How many digests are kept: more than any fleet has engines, and the beginnings of some seconds beside. */
const maximumDigests = 4_096;

/** Creates the ranking of a process. */
export function createRendezvousRanking(): RendezvousRanking {
    const digests = new LRUCache<string, InstanceDigest>({ max: maximumDigests });
    return { getHighest };

    function getHighest<T>(
        key: string,
        nodes: readonly T[],
        getId: (node: T) => string,
        count: number,
    ): readonly T[] {
        const { first, second } = getDigest(key);
        return nodes
            .map(place => ({ place, score: getRendezvousScore(first, second, getDigest(getId(place))) }))
            .sort((left, right) => right.score - left.score)
            .slice(0, count)
            .map(({ place }) => place);
    }

    function getDigest(text: string): InstanceDigest {
        const digest = digests.get(text) ?? createInstanceDigest(text);
        digests.set(text, digest);
        return digest;
    }
}
