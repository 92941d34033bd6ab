/*
 * How the lock of a folder knows processes; tests put fakes here.
 */
import { LockOwner } from "./LockOwner";

/** Tells who this process is, and which others still run. */
export interface ProcessTable {
    /** Gets the identity of this process. */
    getOwnProcess(): Promise<LockOwner>;
    /** Tells whether the process that wrote a lock still runs. */
    isRunning(owner: LockOwner): Promise<boolean>;
}
