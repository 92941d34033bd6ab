/*
 * How long less urgent requests have not been started.
 */
import { QueueDemand } from "./QueueDemand";

/** Tracks for how long a workspace's more urgent requests have kept less urgent ones from being started. */
export interface StarvationTimes {
    /** Records that a request waits. */
    recordAdded(demand: QueueDemand): void;
    /** Records that a request is started. */
    recordStart(demand: QueueDemand): void;
    /** Records that no request of a workspace waits any more. */
    recordEmpty(workspace: string): void;
    /**
     * Gets for how long requests of a workspace have waited without a pause while none as little urgent as this one was
     * started, in milliseconds: a request that had come at the beginning of that time would still wait.
     */
    getMilliseconds(demand: QueueDemand): number;
}
