/*
 * What a request would cost at this backend server.
 */

/** An estimate of a request's cost. */
export interface CostEstimate {
    /** How many of the prompt's first pieces are likely cached. */
    cachedBlocks: number;
    /** How many tokens no other admitted request computes either. */
    unsharedTokens: number;
    /** How many tokens of the prompt would be computed. */
    uncachedTokens: number;
    /** How long their prefill takes, in milliseconds. */
    prefillMilliseconds: number;
    /** What the whole request takes of the backend server, in milliseconds. */
    chargeMilliseconds: number;
}
