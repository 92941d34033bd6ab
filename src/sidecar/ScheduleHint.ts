/*
 * Where a refused request would fare better.
 */

/** A scheduler's advice to the entry. */
export interface ScheduleHint {
    /** The hash of the prefix that the advice is about; undefined where it is about the backend server as a whole. */
    prefixHash: string | undefined;
    /** Over how many backend servers the prefix should be spread. */
    spread: number;
    /** The instance that would serve it better, where one is known. */
    sibling: string | undefined;
    /** How long the request would have waited here, in milliseconds. */
    predictedWaitMilliseconds: number;
    /** What the request would have cost here in milliseconds: its wait and its recomputation, weighted. */
    predictedCostMilliseconds: number;
    /** How many tokens of its prompt are cached here. */
    cachedTokens: number;
}
