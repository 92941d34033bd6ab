/*
 * The outcome of a sidecar's request to the control members to begin an order.
 */

/** The outcome of beginning an order. */
export type BeginOrderOutcome =
    /** The order may be passed on to the engine at once. */
    | { kind: "begun"; hasBegunBefore: boolean; }
    /** The order is no longer valid. */
    | { kind: "refused"; reason: string; }
    /** No control member confirmed the order in time, or the sidecar is stopping. */
    | { kind: "unreachable"; };
