/*
 * A request as the request queue handles it.
 */

/** A request that has been read and waits to be started. */
export interface QueuedRequest {
    /** How long its caller waits for the response, in milliseconds; undefined where the request does not say. */
    readonly callerMilliseconds: number | undefined;
    /** Aborted once its caller has left. */
    readonly signal: AbortSignal;
    /** Starts the request. */
    start(): void;
    /**
     * Refuses the request, which has not run.
     * @param retryAfterMilliseconds - The delay after which the caller may retry, in milliseconds.
     */
    refuse(retryAfterMilliseconds: number): void;
    /** Drops the request of a caller that has left. */
    drop(): void;
}
