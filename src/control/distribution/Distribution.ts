/*
 * The part of a control member that serves entries and sidecars.
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

/** Sessions, leases, the directory, and what is in force. */
export interface Distribution extends Stoppable {
    /** The member's directory. */
    directory: WritableDirectory;
    /** Whether this member leads. */
    leadership: Leadership;
    /** Serves one session. */
    serveSession(updates: AsyncIterable<SessionUpdate>, signal: AbortSignal): AsyncIterable<SessionEvent>;
    /** Takes in another member's state. */
    shareState(request: ShareStateRequest): ShareStateResponse;
    /** Hands on events and updates that another member has sent. */
    relay(request: RelayRequest): RelayResponse;
    /** Waits, at the leader, until a revision is in force. */
    waitInForce(revision: bigint, milliseconds: number): Promise<InForceCheck>;
    /** Gets what is known of each entry and sidecar; whole only at the leader. */
    getInstances(): readonly InstanceStatus[];
    /**
     * Sends an event to a process, over whichever member its session is at.
     * @returns Whether the event was handed to a member with such a session.
     */
    sendEvent(instanceId: string, event: SessionEvent): Promise<boolean>;
    /** Sends an event to all processes with a session at this member. */
    broadcast(event: SessionEvent): void;
    /**
     * Adds a handler for quota requests and order reports. Order reports arrive at the leader, quota requests at the
     * member that owns the level.
     * @returns A function that removes the handler.
     */
    addUpdateHandler(handler: (update: ProcessUpdate) => void): () => void;
    /** Tells the next leader, after this member's log has stopped, whose leases from here may still run. */
    announceShutdown(): Promise<void>;
}
