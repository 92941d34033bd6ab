/*
 * Limits the share of the waiting work that one flow may have. A flow is the traffic of one subscriber.
 */
import { QueuedRequest } from "./QueuedRequest";

/** Throttles flows that exceed their share of the waiting work, in proportion to contention. */
export interface ContentionThrottle {
    /**
     * Gets how long the flow of a request must back off, in milliseconds; 0 if the request may be queued.
     * @param request - The request to be queued.
     * @param queueFillRatio - The occupied part of the queue, from 0 to 1.
     */
    getBackoffMilliseconds(request: QueuedRequest, queueFillRatio: number): number;
}
