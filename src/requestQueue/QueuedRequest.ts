/*
 * A request as the request queue handles it.
 */
import { QueueDemand } from "./QueueDemand";
import { QueueRefusal } from "./QueueRefusal";

/** A request that has been read and waits to be started. */
export interface QueuedRequest extends QueueDemand {
    /** Aborted once its caller has left. */
    readonly signal: AbortSignal;
    /** Starts the request. */
    start(): void;
    /**
     * Refuses the request, which has not run.
     * @param retryAfterMilliseconds - The delay after which the caller may retry, in milliseconds.
     * @param refusal - Why it is refused.
     */
    refuse(retryAfterMilliseconds: number, refusal: QueueRefusal): void;
    /** Drops the request of a caller that has left. */
    drop(): void;
}
