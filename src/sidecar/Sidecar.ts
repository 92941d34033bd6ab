/*
 * The sidecar beside one backend server.
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { Stoppable } from "../runtime";
import { BackendState } from "./BackendState";

/** A running sidecar. Stopping it waits for attempts in flight, up to the drain deadline. */
export interface Sidecar extends Stoppable {
    /** Adds the sidecar's RPC services to the router of the listener for other processes. */
    addServices(router: ConnectRouter): void;
    /** Gets the last observed state of the backend server. */
    getBackendState(): BackendState;
    /**
     * Adds a listener that is called when the backend server's state changes.
     * @returns A function that removes the listener.
     */
    addStateListener(listener: (state: BackendState) => void): () => void;
    /** Refuses new and waiting work from now on. */
    startLeaving(): void;
    /** Counts the running attempts, the open event streams and the claims being settled. */
    getInFlightCount(): number;
}
