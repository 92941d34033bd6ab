/*
 * A request in the request queue.
 */
import { QueuedRequest } from "./QueuedRequest";

/** A request with the times that decide when it is started. */
export interface WaitingRequest {
    request: QueuedRequest;
    /** When it was added, on the monotonic clock, in milliseconds. */
    addedMilliseconds: number;
    /** The first turn in which it may be started. */
    firstTurn: number;
}
