/*
 * The response of a route to an operator.
 */

/** A response with a JSON body. */
export interface OperatorResponse {
    /** The HTTP status. */
    status: number;
    /** The body, before its serialization; `bigint` values are written as numbers. */
    body: unknown;
    /** The delay after which a refused request may be retried, in milliseconds; sent as `retry-after`. */
    retryAfterMilliseconds?: number;
}
