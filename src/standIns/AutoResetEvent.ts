/*
 * A synchronization primitive for two asynchronous tasks of one process.
 */

/** An event that one task waits for and other tasks set. An event that is set before the wait ends the wait at once. */
export interface AutoResetEvent {
    /** Sets the event. */
    set(): void;
    /** Waits until the event is set, and resets it. */
    wait(): Promise<void>;
}
