/*
 * The one place that sees all of a backend server's work, and decides what runs next.
 */
import { ScheduledRequest } from "./ScheduledRequest";
import { ScheduleOutcome } from "./ScheduleOutcome";

/** Queues requests for one backend server. */
export interface RequestScheduler {
    /**
     * Queues a request and waits for its turn, or refuses it at once.
     * @param signal - Gives up the place in the queue.
     */
    schedule(request: ScheduledRequest, signal: AbortSignal): Promise<ScheduleOutcome>;
    /** Gets how many requests wait. */
    getQueueLength(): number;
    /** Gets how many requests run. */
    getRunningCount(): number;
    /** Refuses all that waits and all that comes, so that the sidecar can leave. */
    drain(): void;
}
