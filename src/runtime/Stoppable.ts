/*
 * Components that run in the background and can be stopped.
 */

/** A running component that can be stopped. */
export interface Stoppable {
    /** Stops the component; resolves once its tasks have ended and its resources are released. */
    stop(): Promise<void>;
}
