/*
 * Watches the backend server behind a sidecar.
 */
import { Stoppable } from "../runtime";
import { BackendState } from "./BackendState";

/** Follows a backend server's state. */
export interface BackendWatcher extends Stoppable {
    /** Gets what is known now. */
    getState(): BackendState;
    /**
     * Adds a listener that is called when the state changes.
     * @returns A function that removes the listener.
     */
    addListener(listener: (state: BackendState) => void): () => void;
    /** Notes that the backend server is leaving; this sticks for the sidecar's incarnation. */
    setLeaving(): void;
}
