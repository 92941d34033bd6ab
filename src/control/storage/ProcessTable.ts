/*
 * The identification of processes that the lock of a folder uses; tests replace it with a fake.
 */
import { LockOwner } from "./LockOwner";

/** Identifies this process, and checks whether other processes still run. */
export interface ProcessTable {
    /** Gets the identity of this process. */
    getOwnProcess(): Promise<LockOwner>;
    /** Returns whether the process that wrote a lock is still running. */
    isRunning(owner: LockOwner): Promise<boolean>;
}
