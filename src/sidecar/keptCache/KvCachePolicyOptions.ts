/*
 * What a kept-cache policy is made from.
 */

/** The options of a kept-cache policy. */
export interface KvCachePolicyOptions {
    /** How long the prefill of a piece takes, in milliseconds. */
    prefillMillisecondsPerBlock: number;
    /** How long reading and importing a piece takes, in milliseconds. */
    importMillisecondsPerBlock?: number;
    /** How long an access to the store takes whatever is read, in milliseconds. */
    storeAccessMilliseconds?: number;
}
