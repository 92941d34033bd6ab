/*
 * The signal that ends the work on a request early.
 */

/** An abort signal and the resources behind it. */
export interface RequestSignal {
    /** Aborted once the caller has disconnected, the time of the request is over or the process ends soon. */
    readonly signal: AbortSignal;
    /** Gets when the time of the request is over, on the monotonic clock, in milliseconds. */
    getEndMilliseconds(): number;
    /** Records that the response to the caller has begun, so that it goes on until the deadline. */
    recordResponseBegun(): void;
    /** Releases the timer and the listener. */
    release(): void;
}
