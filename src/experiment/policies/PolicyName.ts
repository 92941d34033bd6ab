/*
 * The policies that an experiment compares.
 */

/** A routing policy. */
export enum PolicyName {
    /** The product's own policy: hashing of nested prefixes, corrected by the sidecars. */
    Prefix = "prefix",
    /** The engine with the fewest pending prefill tokens, according to the ground truth. */
    LeastLoaded = "least-loaded",
    /** The engines in turn. */
    RoundRobin = "round-robin",
    /** Rendezvous hashing of the prompt's first blocks. */
    Hash = "hash",
    /** The engine with the least wait and recomputation, according to the ground truth of all caches and queues. */
    Oracle = "oracle",
}
