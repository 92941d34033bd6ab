/*
 * What became of an order for new weights.
 */

/** The outcome of an order. */
export type WeightsOrderOutcome =
    /** The engine carries it out. */
    | { kind: "accepted"; }
    /** The engine serves that version already. */
    | { kind: "holds"; }
    /** Another order is being carried out, or the engine has taken other orders meanwhile. */
    | { kind: "conflict"; }
    /** The engine has seen a higher fencing token: another process leads. */
    | { kind: "fenced"; }
    /** The address belongs to another backend server now. */
    | { kind: "misdirected"; }
    /** The engine does not know the version, or can't read the order. */
    | { kind: "invalid"; reason: string; }
    /** The order may have been accepted, and may be carried out late. */
    | { kind: "unknown"; reason: string; };
