/*
 * The signal that ends the work on a request early.
 */

/** An abort signal and the resources behind it. */
export interface RequestSignal {
    /** Aborted once the caller has disconnected, the deadline has passed or the process ends soon. */
    readonly signal: AbortSignal;
    /** Releases the timer and the listener. */
    release(): void;
}
