/*
 * The processes that may hold a lease from a control member.
 */
import { LeaseHolder } from "../../protocol";
import { LeaseHolderState } from "./LeaseHolderState";

/** The processes with sessions at a control member, and those whose leases from it may still run. */
export interface LeaseHolderTable {
    /** Notes that a process has opened a session. */
    addSession(instanceId: string, incarnation: string): LeaseHolderState;
    /**
     * Notes that a process's session is over; its lease runs on unless it has said that it is gone.
     * @param hasTerminated - Whether the process has said that it serves nothing any more.
     */
    removeSession(holder: LeaseHolderState, hasTerminated: boolean): void;
    /** Notes what a process has acknowledged. */
    recordAcknowledgement(holder: LeaseHolderState, revision: bigint, companionSetNumber: bigint): void;
    /** Gets the processes, after those whose lease is over and who have no session are dropped. */
    getAll(): readonly LeaseHolderState[];
    /** Gets a process as other members are told of it; one that is not held any more has ended. */
    createMessage(key: string): LeaseHolder;
    /**
     * Adds a listener that is called with the key of each process that changed.
     * @returns A function that removes the listener.
     */
    addListener(listener: (key: string) => void): () => void;
}
