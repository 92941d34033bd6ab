/*
 * What ends the work on a request early.
 */

/** The options of a request's signal. Times are on the monotonic clock, in milliseconds. */
export interface RequestSignalOptions {
    /** Aborted once the caller has disconnected, or the process ends soon. */
    readonly endSignals: readonly AbortSignal[];
    /** When a request without a response is answered with what is known of it. */
    readonly answerMilliseconds: number;
    /** The deadline, at which a response that has begun is broken off. */
    readonly deadlineMilliseconds: number;
}
