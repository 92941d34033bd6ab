/*
 * The sidecar beside one backend server.
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { Stoppable } from "../runtime";
import { BackendState } from "./BackendState";

/** A running sidecar; its stop finishes what is in flight. */
export interface Sidecar extends Stoppable {
    /** Adds the sidecar's services to the listener for other processes. */
    addServices(router: ConnectRouter): void;
    /** Gets what is known of the backend server. */
    getBackendState(): BackendState;
    /** Adds a listener that is called when the backend server's state changes. */
    addStateListener(listener: (state: BackendState) => void): () => void;
    /** Takes no new work from now on. */
    startLeaving(): void;
    /** Gets how many attempts are in flight. */
    getInFlightCount(): number;
}
