/*
 * The number of a rollout step, which is the fencing number of its order.
 */

/** The place in the replicated log of the entry that opened a step. */
export interface StepFencingToken {
    /** The term of the entry. */
    term: bigint;
    /** The index of the entry. */
    index: bigint;
}
