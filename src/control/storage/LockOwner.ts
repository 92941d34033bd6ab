/*
 * The process that holds a folder's lock, as stored in the lock file.
 */

/** A process, identified uniquely across reuse of process ids and reboots of the machine. */
export interface LockOwner {
    /** The process id. */
    processId: number;
    /** The process's start time, in the operating system's unit; empty if the system doesn't provide it. */
    startTime: string;
    /** The identifier of the machine's current boot; empty if the system doesn't provide it. */
    bootId: string;
}
