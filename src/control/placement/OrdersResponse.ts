/*
 * The JSON form of the response to an orders query.
 */

/** The response to an orders query. Both tokens are of the same place in the log; their parts are decimal text. */
export interface OrdersResponse {
    /** The highest fencing token that any order of any sidecar has been given. */
    lastNumber: { term: string; index: string; };
    /** The fencing token of the sidecar's open order; undefined where it has none. */
    openNumber: { term: string; index: string; } | undefined;
}
