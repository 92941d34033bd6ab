/*
 * The sessions of processes at this control member.
 */
import { ProcessRecord, SessionEvent, SessionUpdate } from "../../protocol";
import { AsyncQueue, Stoppable } from "../../runtime";
import { HostedSession } from "./HostedSession";

/** Holds the sessions at this control member, and sends events to them. */
export interface SessionHub extends Stoppable {
    /**
     * Opens a session, and closes a former session of the same instance.
     * @param record - The record that the process has sent of itself.
     * @param outgoing - The queue of events to be sent.
     */
    open(record: ProcessRecord, outgoing: AsyncQueue<SessionEvent>): HostedSession;
    /** Applies an update that a process has sent over its session, or forwards it to its handler. */
    receiveUpdate(session: HostedSession, update: SessionUpdate): void;
    /** Closes a session. */
    close(session: HostedSession): void;
    /**
     * Sends an event to a process.
     * @returns Whether the process has a session here.
     */
    send(instanceId: string, event: SessionEvent): boolean;
    /** Sends an event to all processes with a session here; a session whose queue is full is closed instead. */
    broadcast(event: SessionEvent): void;
    /** Grants the pending lease requests, if leases may be granted now. */
    grantPendingLeases(): void;
    /** Refuses lease requests that have been pending for too long, and closes the sessions of unresponsive processes. */
    enforceTimeouts(): void;
    /** Gets the number of sessions. */
    getCount(): number;
}
