/*
 * What a kept-cache policy is made from.
 */

/** The options of a kept-cache policy. */
export interface KeptCachePolicyOptions {
    /** How long the prefill of a piece takes, in milliseconds. */
    prefillMillisecondsPerPiece: number;
    /** How long reading and importing a piece takes, in milliseconds. */
    importMillisecondsPerPiece?: number;
    /** How long an access to the store takes whatever is read, in milliseconds. */
    accessMilliseconds?: number;
}
