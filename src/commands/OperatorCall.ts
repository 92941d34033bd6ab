/*
 * A call to the control members.
 */

/** The HTTP request of a call. */
export interface OperatorCall {
    /** The HTTP method. */
    method: "GET" | "POST";
    /** The path, with query parameters. */
    path: string;
    /** The body, sent as JSON; the request has no body where absent. */
    body?: unknown;
    /** Whether the call may be sent again after its response was lost; a GET always may. */
    isRepeatable?: boolean;
    /** The timeout of one attempt, in milliseconds; defaults to that of the client. */
    attemptTimeoutMilliseconds?: number;
}
