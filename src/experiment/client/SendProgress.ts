/*
 * The progress of sending a workload.
 */

/** Counts of a workload's requests. */
export interface SendProgress {
    /** The number of requests sent so far. */
    sent: number;
    /** The number of sent requests that have ended, in whatever way. */
    ended: number;
}
