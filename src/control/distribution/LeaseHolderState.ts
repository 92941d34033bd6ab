/*
 * The state that a control member keeps of one process that may hold a lease from it.
 */

/** A process that has a session at this member, or whose lease from this member may still run. */
export interface LeaseHolderState {
    /** The process's instance id. */
    instanceId: string;
    /** The process's incarnation. */
    incarnation: string;
    /** The configuration revision that the process has acknowledged. */
    revision: bigint;
    /** The number of the sidecar set that the process has acknowledged. */
    companionSetNumber: bigint;
    /** When the process's lease ends at the latest, in milliseconds of the monotonic clock. */
    leaseExpiresAtMilliseconds: number;
    /** Whether the process has a session at this member. */
    hasSession: boolean;
    /** Whether the leader has accepted a report of the process; before that, the process is granted no lease. */
    isRegistered: boolean;
}
