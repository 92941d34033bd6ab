/*
 * Whether an amount of a limit could be taken.
 */

/** The outcome of taking from a lease. */
export type QuotaCheckOutcome =
    /** The amount was taken. */
    | { kind: "taken"; }
    /** There is not enough now; it is worth asking again after a time. */
    | { kind: "refused"; retryAfterMilliseconds: number; };
