/*
 * Limits on the requests and connections of callers.
 */

/** The limits that apply to each caller connection and request. */
export interface CallerLimits {
    /** The maximum size of a request's headers, in bytes. */
    maximumHeaderBytes: number;
    /** The maximum size of a request's body, in bytes. */
    maximumBodyBytes: number;
    /** The time within which a caller must have sent its headers, in milliseconds. */
    headerTimeoutMilliseconds: number;
    /** The time after which an idle connection is closed, in milliseconds. */
    idleTimeoutMilliseconds: number;
}
