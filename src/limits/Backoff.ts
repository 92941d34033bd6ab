/*
 * The delays between the retries of one request.
 */

/** Computes retry delays, whose upper limit grows with each retry. */
export interface Backoff {
    /**
     * Gets the delay before the next retry in milliseconds; undefined where the retry would be after the deadline.
     * @param minimumDelayMilliseconds - The delay that a refusal asked for; 0 where absent.
     */
    getNextDelayMilliseconds(minimumDelayMilliseconds?: number): number | undefined;
}
