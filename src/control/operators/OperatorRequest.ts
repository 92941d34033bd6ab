/*
 * An authenticated operator's request, as passed to a route.
 */

/** An operator's request. */
export interface OperatorRequest {
    /** The name of the operator. */
    operatorName: string;
    /** The parameters of the URL's query string. */
    parameters: URLSearchParams;
    /** The parsed JSON body; undefined if there is none. */
    body: unknown;
    /** Aborted when the operator disconnects, the response timeout expires or the server stops. */
    signal: AbortSignal;
}
