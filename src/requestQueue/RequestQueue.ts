/*
 * The queue of the requests that an entry process has read and not started.
 */
import { QueueDemand } from "./QueueDemand";
import { QueuedRequest } from "./QueuedRequest";
import { QueueRefusal } from "./QueueRefusal";

/** Starts requests at the rate at which the process can work on them. */
export interface RequestQueue {
    /** Adds a request that has been read as a whole. */
    add(request: QueuedRequest): void;
    /**
     * Gets the refusal of a request that could not be started in time if it were added now, so that its body need not be
     * read; undefined where it can be added, and where requests are not distinguished.
     */
    getArrivalRefusal(demand: QueueDemand): QueueRefusal | undefined;
    /** Records that a connection was accepted: more may wait, which are accepted before requests are started. */
    recordConnection(): void;
    /** Gets the number of requests that wait. */
    getLength(): number;
}
