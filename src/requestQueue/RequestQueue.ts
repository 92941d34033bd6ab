/*
 * The queue of the requests that an entry process has read and not started.
 */
import { QueuedRequest } from "./QueuedRequest";

/** Starts requests at the rate at which the process can work on them. */
export interface RequestQueue {
    /** Adds a request that has been read as a whole. */
    add(request: QueuedRequest): void;
    /** Records that a connection was accepted: more may wait, which are accepted before requests are started. */
    recordConnection(): void;
    /** Gets the number of requests that wait. */
    getLength(): number;
}
