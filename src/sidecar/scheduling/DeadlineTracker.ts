/*
 * The deadlines of what waits.
 */
import { QueuedRequest } from "./QueuedRequest";

/** Tells when waiting requests have reached their deadlines. */
export interface DeadlineTracker {
    /** Watches a request's deadline. */
    add(waiting: QueuedRequest): void;
    /** Watches it no more. */
    remove(waiting: QueuedRequest): void;
}
