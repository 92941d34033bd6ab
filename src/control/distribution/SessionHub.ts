/*
 * All sessions at this control member.
 */
import { ProcessRecord, SessionEvent, SessionUpdate } from "../../protocol";
import { AsyncQueue, Stoppable } from "../../runtime";
import { HostedSession } from "./HostedSession";

/** The sessions at this control member, and what is sent to all of them. */
export interface SessionHub extends Stoppable {
    /**
     * Opens a session. A former session of the same instance is closed.
     * @param record - What the process says of itself.
     * @param outgoing - What is to be sent.
     */
    open(record: ProcessRecord, outgoing: AsyncQueue<SessionEvent>): HostedSession;
    /** Takes in what a process sends over its session. */
    receiveUpdate(session: HostedSession, update: SessionUpdate): void;
    /** Closes a session. */
    close(session: HostedSession): void;
    /**
     * Sends an event to a process.
     * @returns Whether the process has a session here.
     */
    send(instanceId: string, event: SessionEvent): boolean;
    /** Sends an event to all processes. */
    broadcast(event: SessionEvent): void;
    /** Answers the lease requests that wait, where leases may now be given. */
    grantPendingLeases(): void;
    /** Refuses lease requests that have waited for long, and closes the sessions of processes that are silent. */
    enforceTimeouts(): void;
    /** Gets how many sessions there are. */
    getCount(): number;
}
