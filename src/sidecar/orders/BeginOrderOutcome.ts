/*
 * What became of a sidecar's asking whether it may carry an order out.
 */

/** The outcome of a begin. */
export type BeginOrderOutcome =
    /** The order may be passed on at once. */
    | { kind: "begun"; hasBegunBefore: boolean; }
    /** The order no longer stands. */
    | { kind: "refused"; reason: string; }
    /** No control member could be asked in time, or the sidecar is stopping. */
    | { kind: "unreachable"; };
