/*
 * The options of a KV cache policy.
 */

/** The durations that a KV cache policy compares. */
export interface KvCachePolicyOptions {
    /** How long the prefill of a block takes, in milliseconds. */
    prefillMillisecondsPerBlock: number;
    /** How long reading and importing a block takes, in milliseconds; a default if absent. */
    importMillisecondsPerBlock?: number;
    /** The fixed duration of an access to the store, in milliseconds; a default if absent. */
    storeAccessMilliseconds?: number;
}
