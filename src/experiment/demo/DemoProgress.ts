/*
 * The progress of a demonstration.
 */

/** The progress of a demonstration's workload. */
export interface DemoProgress {
    /** The time since the workload's start, in seconds. */
    elapsedSeconds: number;
    /** The number of requests of the whole workload. */
    total: number;
    /** The number of requests sent so far. */
    sent: number;
    /** The number of sent requests that have ended, in whatever way. */
    ended: number;
    /** The name of the latest action; empty before the first one. */
    lastAction: string;
}
