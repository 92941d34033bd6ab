/*
 * Whether an amount of a limit is available.
 */

/** The outcome of checking a lease for an amount. */
export type QuotaCheckOutcome =
    /** The amount may be taken. */
    | { kind: "available"; }
    /** The amount isn't available now; a retry may succeed after the given time. */
    | { kind: "refused"; retryAfterMilliseconds: number; };
