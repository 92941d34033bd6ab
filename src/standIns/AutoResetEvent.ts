/*
 * A signal between two tasks of one process.
 */

/** A signal that one task waits for and any other sets; a signal set before the wait is not lost. */
export interface AutoResetEvent {
    /** Sets the signal. */
    set(): void;
    /** Waits for the signal and takes it. */
    wait(): Promise<void>;
}
