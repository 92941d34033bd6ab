/*
 * The estimates that a scheduler decides by.
 */
import { ScheduledRequest } from "../ScheduledRequest";
import { QueueAttributes } from "./QueueAttributes";

/** Estimates requests by what is known at the moment. */
export interface RequestEstimator {
    /** Gets a request's cost and its place in the order. */
    getQueueAttributes(request: ScheduledRequest): QueueAttributes;
}
