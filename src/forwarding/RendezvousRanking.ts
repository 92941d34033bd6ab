/*
 * Which of several places keeps a key, by rendezvous hashing.
 */

/** Ranks places for keys, the same way in every process. */
export interface RendezvousRanking {
    /**
     * Gets the places that rank highest for a key, the highest first.
     * @param key - The key.
     * @param nodes - The places.
     * @param getId - Gets a place's id.
     * @param count - How many to get at most.
     */
    getHighest<T>(key: string, nodes: readonly T[], getId: (node: T) => string, count: number): readonly T[];
}
