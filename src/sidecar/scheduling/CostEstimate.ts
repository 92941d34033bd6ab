/*
 * The estimated cost of a request at one backend server.
 */

/** An estimate of a request's cost. */
export interface CostEstimate {
    /** The number of leading blocks of the prompt that are likely cached. */
    cachedBlocks: number;
    /** The number of prompt tokens that are neither cached nor computed by another admitted request. */
    unsharedTokens: number;
    /** The number of prompt tokens that are not cached and have to be computed. */
    uncachedTokens: number;
    /** The duration of the prefill of the uncached tokens, in milliseconds. */
    prefillMilliseconds: number;
    /** The time that the whole request, prefill and decoding, costs the backend server, in milliseconds. */
    chargeMilliseconds: number;
}
