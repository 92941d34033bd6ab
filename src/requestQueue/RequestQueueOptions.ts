/*
 * The options of a request queue.
 */
import { Clock } from "../runtime";

/** What a request queue depends on. */
export interface RequestQueueOptions {
    /**
     * Waits for the next turn of the event loop, in which connections are accepted and everything that has arrived is
     * read.
     */
    waitForTurn(): Promise<unknown>;
    /** The clock by which requests wait. */
    clock: Clock;
}
