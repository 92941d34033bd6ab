/*
 * The settings of the entry role.
 */

/** The limits of an entry process. */
export interface EntrySettings {
    /** The maximum size of a request body, in bytes. */
    maximumBodyBytes: number;
    /** The maximum size of a request's headers, in bytes. */
    maximumHeaderBytes: number;
    /** The maximum number of open connections. */
    maximumConnections: number;
    /** The maximum number of requests in flight. */
    maximumRequestsInFlight: number;
    /** How long a caller may take to send a complete request, in milliseconds. */
    requestTimeoutMilliseconds: number;
    /** How long an idle connection is kept open, in milliseconds. */
    idleTimeoutMilliseconds: number;
    /** The deadline of a request whose caller sets none, in milliseconds. */
    defaultDeadlineMilliseconds: number;
    /** The number of retries allowed for each first attempt. */
    retryBudgetShare: number;
    /**
     * How long a stopping entry process still accepts requests while the load balancer detects that it is no longer
     * ready, in milliseconds.
     */
    leaveMilliseconds?: number;
    /** How long shutdown waits for requests in flight, in milliseconds. */
    drainDeadlineMilliseconds: number;
}
