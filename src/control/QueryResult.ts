/*
 * The outcome of a query to the control members.
 */

/** The outcome of a query; the type of the value depends on the query's kind. */
export type QueryResult =
    | { kind: "answered"; index: bigint; value: unknown; }
    | { kind: "unreachable"; reason: string; };
