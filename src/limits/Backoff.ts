/*
 * The waits between one request's retries.
 */

/** Waits longer before each further retry. */
export interface Backoff {
    /**
     * Gets how long to wait before the next retry, in milliseconds; undefined where it would come after the deadline.
     * @param minimumDelayMilliseconds - The wait that a refusal asked for.
     */
    getNextDelayMilliseconds(minimumDelayMilliseconds?: number): number | undefined;
}
