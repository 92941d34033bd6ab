/*
 * The fencing token of a rollout step and its order.
 */

/** The place in the replicated log of the entry that opened a step. A later step always has a higher token. */
export interface StepFencingToken {
    /** The term of the entry. */
    term: bigint;
    /** The index of the entry. */
    index: bigint;
}
