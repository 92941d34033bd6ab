/*
 * The estimated time to the first token, or to the response, at a backend server.
 */

/** The parts of an estimate, in milliseconds. */
export interface ServerWait {
    /** The time in which the work ahead ends. */
    aheadMilliseconds: number;
    /** That time, and the time of the request's own work until its first token. */
    totalMilliseconds: number;
}
