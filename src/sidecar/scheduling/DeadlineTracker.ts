/*
 * The deadlines of the waiting requests.
 */
import { QueuedRequest } from "./QueuedRequest";

/** Reports waiting requests whose deadlines have passed. */
export interface DeadlineTracker {
    /** Starts to track the deadline of a request. */
    add(waiting: QueuedRequest): void;
    /** Stops tracking the deadline of a request. */
    remove(waiting: QueuedRequest): void;
}
