/*
 * What one run of a process has acknowledged.
 */

/** The highest that a run of a process has acknowledged to any member. */
export interface ProcessAcknowledgement {
    /** The process's instance id. */
    instanceId: string;
    /** The process's incarnation. */
    incarnation: string;
    /** The configuration revision. */
    revision: bigint;
    /** The number of the set of sidecars. */
    companionSetNumber: bigint;
    /** Since when this leader has known the run, on the monotonic clock. */
    trackedSinceMilliseconds: number;
}
