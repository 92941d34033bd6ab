/*
 * Ranks nodes for keys by rendezvous hashing, with a cache of the digests of keys and nodes.
 */
import { LRUCache } from "lru-cache";
import { createInstanceDigest, getRendezvousScore, InstanceDigest } from "../routing";
import { NodeRanking } from "./NodeRanking";

/**
 * The maximum number of cached digests: more than the engines of any fleet and the prefixes of some seconds together.
 */
const maximumDigests = 4_096;

/** Creates the ranking of a process. */
export function createNodeRanking(): NodeRanking {
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
            .map(node => ({ node, score: getRendezvousScore(first, second, getDigest(getId(node))) }))
            .sort((left, right) => right.score - left.score)
            .slice(0, count)
            .map(({ node }) => node);
    }

    function getDigest(text: string): InstanceDigest {
        const digest = digests.get(text) ?? createInstanceDigest(text);
        digests.set(text, digest);
        return digest;
    }
}
