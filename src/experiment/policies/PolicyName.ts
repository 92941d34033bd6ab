/*
 * The policies that an experiment compares.
 */

/** A routing policy. */
export enum PolicyName {
    /** The product's own: hashing on nested levels, corrected by sidecars. */
    Prefix = "prefix",
    /** The engine with the least prefill ahead, known without lag. */
    LeastLoaded = "least-loaded",
    /** One engine after another. */
    RoundRobin = "round-robin",
    /** Hashing of the prompt's first pieces. */
    Hash = "hash",
    /** The least wait and recomputation, with every cache and queue known without lag. */
    Oracle = "oracle",
}
