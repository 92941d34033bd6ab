/*
 * The head of a backend server's answer.
 */

/** Status and headers of an answer. */
export interface HttpResponseHead {
    /** The HTTP status. */
    status: number;
    /** The headers that are passed on, names and values in turn. */
    headers: readonly string[];
}
