/*
 * Assigns keys to nodes by rendezvous hashing.
 */

/** Ranks nodes for keys, in the same order in every process. */
export interface NodeRanking {
    /**
     * Gets the nodes that rank highest for a key, the highest first.
     * @param key - The key.
     * @param nodes - The nodes, for instance engines or stores.
     * @param getId - Gets a node's id.
     * @param count - The maximum number of nodes to return.
     */
    getHighest<T>(key: string, nodes: readonly T[], getId: (node: T) => string, count: number): readonly T[];
}
