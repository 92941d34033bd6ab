/*
 * The routing of events and updates between processes and the control members that handle them.
 */
import { RelayRequest, RelayResponse, SessionEvent } from "../../protocol";
import { ProcessUpdate } from "./ProcessUpdate";

/** Delivers events to processes and updates to handlers, through other members if needed. */
export interface UpdateRouter {
    /** Routes an update of a process whose session is at this member to the member that handles it. */
    routeUpdate(update: ProcessUpdate): void;
    /** Delivers events and updates that another member has relayed. */
    relay(request: RelayRequest): RelayResponse;
    /**
     * Sends an event to a process through the member that has its session.
     * @returns Whether a member with a session of the process accepted the event.
     */
    sendEvent(instanceId: string, event: SessionEvent): Promise<boolean>;
    /**
     * Adds a handler for updates that this member handles.
     * @returns A function that removes the handler.
     */
    addHandler(handler: (update: ProcessUpdate) => void): () => void;
}
