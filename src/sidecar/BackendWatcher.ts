/*
 * Observes the state of the backend server behind a sidecar.
 */
import { Stoppable } from "../runtime";
import { BackendState } from "./BackendState";

/** Tracks a backend server's state. */
export interface BackendWatcher extends Stoppable {
    /** Gets the last observed state. */
    getState(): BackendState;
    /**
     * Adds a listener that is called when the state changes.
     * @param listener - Receives the new state.
     * @returns A function that removes the listener.
     */
    addListener(listener: (state: BackendState) => void): () => void;
    /** Marks the backend server as leaving, for the rest of the sidecar's incarnation. */
    setLeaving(): void;
}
