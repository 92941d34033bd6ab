/*
 * What a control member knows of one process that may hold a lease from it.
 */

/** A process with a session here, or whose lease from here may still run. */
export interface LeaseHolderState {
    /** The process's instance id. */
    instanceId: string;
    /** The process's incarnation. */
    incarnation: string;
    /** The configuration revision that it has acknowledged. */
    revision: bigint;
    /** The number of the set of sidecars that it has acknowledged. */
    companionSetNumber: bigint;
    /** When its lease ends at the latest, on the monotonic clock. */
    leaseExpiresAtMilliseconds: number;
    /** Whether it has a session here. */
    hasSession: boolean;
    /** Whether the leader knows of it, without which it is given no lease. */
    isRegistered: boolean;
}
