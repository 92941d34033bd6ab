/*
 * What ends the work on a request early.
 */

/** A signal with what it holds. */
export interface RequestSignal {
    /** Aborted once the caller has left or the deadline has passed. */
    readonly signal: AbortSignal;
    /** Releases the timer and the listener. */
    release(): void;
}
