/*
 * A call to the control members.
 */

/** What is asked of a control member. */
export interface OperatorCall {
    /** The HTTP method. */
    method: "GET" | "POST";
    /** The path, with the query's parameters. */
    path: string;
    /** The body, sent as JSON; none where absent. */
    body?: unknown;
    /** Whether the call may be sent again after its answer was lost; every GET may. */
    isRepeatable?: boolean;
    /** How long one attempt may take, in milliseconds; the client's own time where absent. */
    attemptTimeoutMilliseconds?: number;
}
