/*
 * The conclusion that a sidecar reports on an order.
 */

/** The conclusion on an order that was begun. */
export type OrderConclusion =
    /** The engine has applied the order and is healthy. */
    | { kind: "done"; }
    /** The engine refused the order, didn't apply it, or isn't healthy afterwards. */
    | { kind: "failed"; reason: string; }
    /** It is unknown whether the engine has executed the order. */
    | { kind: "lost"; reason: string; };
