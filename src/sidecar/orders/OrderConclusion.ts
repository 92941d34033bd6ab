/*
 * What a sidecar reports of an order.
 */

/** The conclusion on an order that was begun. */
export type OrderConclusion =
    /** The engine holds what was ordered, and works. */
    | { kind: "done"; }
    /** The engine refused, or does not work with what was ordered. */
    | { kind: "failed"; reason: string; }
    /** It can't be told what became of the order. */
    | { kind: "lost"; reason: string; };
