/*
 * How long work takes at a backend server.
 */

/** The speed of a backend server. */
export interface ServerSpeed {
    /** How long work takes there, in relation to the usual time. */
    workFactor: number;
    /**
     * The age of this entry process's newest report, or of the load sums with the others' evidence where these are newer,
     * in milliseconds. The reports in the sums are older than these.
     */
    ageMilliseconds: number;
}
