/*
 * The table of the processes that may hold a lease from a control member.
 */
import { LeaseHolder } from "../../protocol";
import { LeaseHolderState } from "./LeaseHolderState";

/** The processes that have sessions at a control member, and those whose leases from it may still run. */
export interface LeaseHolderTable {
    /** Records that a run of a process has opened a session, and returns its state. */
    addSession(instanceId: string, incarnation: string): LeaseHolderState;
    /**
     * Records that a process's session has ended. Its lease runs on unless the process has terminated.
     * @param holder - The process.
     * @param hasTerminated - Whether the process has reported that it serves nothing any more.
     */
    removeSession(holder: LeaseHolderState, hasTerminated: boolean): void;
    /** Records what a process has acknowledged; older acknowledgements change nothing. */
    recordAcknowledgement(holder: LeaseHolderState, revision: bigint, companionSetNumber: bigint): void;
    /** Gets all processes, after removing those that have neither a session nor a running lease. */
    getAll(): readonly LeaseHolderState[];
    /**
     * Creates the message that reports a process to other members; a process that is no longer in the table is
     * reported as ended.
     * @param key - The key of the process's run, as `getHolderKey` returns it.
     */
    createMessage(key: string): LeaseHolder;
    /**
     * Adds a listener that is called with the key of each process that has changed.
     * @returns A function that removes the listener.
     */
    addListener(listener: (key: string) => void): () => void;
}
