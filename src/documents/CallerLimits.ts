/*
 * What callers may send.
 */

/** The bounds on callers' requests and connections. */
export interface CallerLimits {
    /** The most bytes of a request's headers. */
    maximumHeaderBytes: number;
    /** The most bytes of a request's body. */
    maximumBodyBytes: number;
    /** How long a caller may take to send its headers, in milliseconds. */
    headerTimeoutMilliseconds: number;
    /** How long a connection may stay idle, in milliseconds. */
    idleTimeoutMilliseconds: number;
}
