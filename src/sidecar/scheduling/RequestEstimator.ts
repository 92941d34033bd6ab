/*
 * The estimates by which a scheduler orders requests.
 */
import { ScheduledRequest } from "../ScheduledRequest";
import { QueueAttributes } from "./QueueAttributes";

/** Estimates requests by the current state of the engine's cache. */
export interface RequestEstimator {
    /** Estimates the cost of a request and derives the attributes by which it is queued. */
    getQueueAttributes(request: ScheduledRequest): QueueAttributes;
}
