/*
 * The part of a control member that serves entry processes and sidecars.
 */
import { WritableDirectory } from "../../membership";
import {
    RelayRequest,
    RelayResponse,
    SessionEvent,
    SessionUpdate,
    ShareStateRequest,
    ShareStateResponse,
} from "../../protocol";
import { Stoppable } from "../../runtime";
import { InForceCheck } from "./InForceCheck";
import { InstanceStatus } from "./InstanceStatus";
import { Leadership } from "./Leadership";
import { ProcessUpdate } from "./ProcessUpdate";

/** Serves sessions and leases, keeps the directory, and decides which configuration revision is in force. */
export interface Distribution extends Stoppable {
    /** The member's directory of entry processes and sidecars. */
    directory: WritableDirectory;
    /** The member's leadership of the replicated log. */
    leadership: Leadership;
    /**
     * Serves one session with a process.
     * @param updates - What the process sends; the first must be its record.
     * @param signal - Ends the session.
     * @returns The events to be sent to the process.
     */
    serveSession(updates: AsyncIterable<SessionUpdate>, signal: AbortSignal): AsyncIterable<SessionEvent>;
    /**
     * Applies the state that another member has sent.
     * @returns This member's differing directory records and, if this member leads, the lease of the other member.
     */
    shareState(request: ShareStateRequest): ShareStateResponse;
    /**
     * Delivers events and updates that another member has relayed.
     * @returns The instances of the events that have no session at this member.
     */
    relay(request: RelayRequest): RelayResponse;
    /**
     * Waits at the leader until a configuration revision is in force.
     * @param revision - The configuration revision.
     * @param milliseconds - The maximum wait.
     */
    waitInForce(revision: bigint, milliseconds: number): Promise<InForceCheck>;
    /** Gets the status of each entry process and sidecar; complete only at the leader. */
    getInstances(): readonly InstanceStatus[];
    /**
     * Sends an event to a process through the member that has its session.
     * @param instanceId - The process's instance id.
     * @param event - The event.
     * @returns Whether a member with a session of the process accepted the event.
     */
    sendEvent(instanceId: string, event: SessionEvent): Promise<boolean>;
    /** Sends an event to all processes with a session at this member. */
    broadcast(event: SessionEvent): void;
    /**
     * Adds a handler for quota requests and order reports. Order reports arrive at the leader, quota requests at the
     * member that owns the level.
     * @param handler - Called with each update.
     * @returns A function that removes the handler.
     */
    addUpdateHandler(handler: (update: ProcessUpdate) => void): () => void;
    /** Reports to the next leader, once this member's log has stopped, the processes whose leases may still run. */
    announceShutdown(): Promise<void>;
}
