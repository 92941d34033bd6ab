/*
 * How much of the waiting work one flow may hold.
 */
import { QueuedRequest } from "./QueuedRequest";

/** Slows flows that hold more than their share, in proportion to contention. */
export interface ContentionThrottle {
    /**
     * Gets how long a request's flow must hold back, in milliseconds; 0 where the request may wait.
     * @param request - The request that would wait.
     * @param queueFillRatio - How full the queue is, from 0 to 1.
     */
    getBackoffMilliseconds(request: QueuedRequest, queueFillRatio: number): number;
}
