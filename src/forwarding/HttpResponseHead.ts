/*
 * The head of a backend server's response.
 */

/** Status and headers of a response. */
export interface HttpResponseHead {
    /** The HTTP status. */
    status: number;
    /** The headers that are passed on, names and values in turn. */
    headers: readonly string[];
}
