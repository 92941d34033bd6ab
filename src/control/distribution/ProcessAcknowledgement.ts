/*
 * What one run of a process has acknowledged.
 */

/** The highest numbers that a run of a process has acknowledged to any member. */
export interface ProcessAcknowledgement {
    /** The process's instance id. */
    instanceId: string;
    /** The process's incarnation. */
    incarnation: string;
    /** The configuration revision. */
    revision: bigint;
    /** The number of the sidecar set. */
    companionSetNumber: bigint;
    /** Since when this leader has tracked the run, in milliseconds of the monotonic clock. */
    trackedSinceMilliseconds: number;
}
