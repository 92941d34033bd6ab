/*
 * Advice on where to route a request that a scheduler has refused.
 */

/** A scheduler's routing advice to the entry process. */
export interface ScheduleHint {
    /** The hash of the prefix that the advice applies to; undefined if it applies to the whole backend server. */
    prefixHash: string | undefined;
    /** The number of backend servers that should serve the prefix. */
    replicaCount: number;
    /** The id of an instance that would serve the request better, if one is known. */
    sibling: string | undefined;
    /** The predicted wait at this backend server, in milliseconds. */
    predictedWaitMilliseconds: number;
    /** The predicted cost at this backend server in milliseconds: the weighted sum of wait and recomputation. */
    predictedCostMilliseconds: number;
    /** How many tokens of the prompt are cached at this backend server. */
    cachedTokens: number;
}
