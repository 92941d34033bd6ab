/*
 * The outcome of an order to load new weights. The kinds are written to the log.
 */

/** The outcome of an order. */
export type WeightsOrderOutcome =
    /** The engine carries out the order. */
    | { kind: "accepted"; }
    /** The engine already serves the version. */
    | { kind: "holds"; }
    /** The engine is carrying out another order, or its order count differs from the expected one. */
    | { kind: "conflict"; }
    /** The engine has seen a higher fencing token, so another process is the leader. */
    | { kind: "fenced"; }
    /** Another backend server now responds at the address. */
    | { kind: "misdirected"; }
    /** The engine has no such version, or can't decode the order; `reason` is its response. */
    | { kind: "invalid"; reason: string; }
    /** The call failed; the engine may have accepted the order, and may carry it out late. */
    | { kind: "unknown"; reason: string; };
