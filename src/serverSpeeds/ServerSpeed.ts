/*
 * How long work takes at a backend server.
 */

/** The speed of a backend server. */
export interface ServerSpeed {
    /** How long work takes there, in relation to the usual time. */
    workFactor: number;
    /** The age of the newest report that the factor contains, in milliseconds. */
    ageMilliseconds: number;
}
