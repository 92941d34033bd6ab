/*
 * The way of events and updates between processes and the parts of control members that handle them.
 */
import { RelayRequest, RelayResponse, SessionEvent } from "../../protocol";
import { ProcessUpdate } from "./ProcessUpdate";

/** Hands events to processes and updates to handlers, over other members where needed. */
export interface UpdateRouter {
    /** Hands on an update of a process whose session is here. */
    routeUpdate(update: ProcessUpdate): void;
    /** Takes in what another member has sent. */
    relay(request: RelayRequest): RelayResponse;
    /** Sends an event to a process, wherever its session is. */
    sendEvent(instanceId: string, event: SessionEvent): Promise<boolean>;
    /** Adds a handler for updates. */
    addHandler(handler: (update: ProcessUpdate) => void): () => void;
}
