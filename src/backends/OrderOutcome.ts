/*
 * The outcome of an order to an engine.
 */

/** Whether an engine executed an order. */
export type OrderOutcome =
    | { kind: "done"; }
    /** The engine refused the order: it has seen a higher fencing token, or it can't execute the order. */
    | { kind: "refused"; reason: string; }
    /** The engine could not be reached, or its response was lost. */
    | { kind: "unknown"; reason: string; };
