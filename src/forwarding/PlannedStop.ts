/*
 * The planned stop of an entry process.
 */

/** Tells what a planned stop still allows. */
export interface PlannedStop {
    /** Aborted when the requests in progress are answered with what is known of them, since the process ends soon. */
    readonly signal: AbortSignal;
    /** Returns whether the process is stopping. */
    hasBegun(): boolean;
    /**
     * Begins the stop; later calls have no effect.
     * @param welcomeMilliseconds - How long all requests are still accepted, in milliseconds: until callers know.
     * @param answerMilliseconds - After which time requests in progress are answered, in milliseconds.
     */
    begin(welcomeMilliseconds: number, answerMilliseconds: number): void;
    /**
     * Returns whether a request that starts now may last until the end of the process.
     * @param deadlineMilliseconds - Its deadline on the monotonic clock, in milliseconds.
     */
    isTooLate(deadlineMilliseconds: number): boolean;
}
