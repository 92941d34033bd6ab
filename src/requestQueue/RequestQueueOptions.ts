/*
 * The options of a request queue.
 */
import { TaskContext } from "../supervision";

/** What a request queue depends on. */
export interface RequestQueueOptions extends TaskContext {
    /**
     * Waits for the next turn of the event loop, in which connections are accepted and everything that has arrived is
     * read.
     */
    waitForTurn(): Promise<unknown>;
}
