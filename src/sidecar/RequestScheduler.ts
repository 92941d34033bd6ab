/*
 * The queue in front of one backend server. All of the server's work passes through it, so it decides what runs next.
 */
import { ScheduledRequest } from "./ScheduledRequest";
import { ScheduleOutcome } from "./ScheduleOutcome";

/** Decides which request runs next at one backend server. */
export interface RequestScheduler {
    /**
     * Queues a request until it may start, or refuses it at once.
     * @param request - The request.
     * @param signal - Removes the request from the queue when aborted.
     */
    schedule(request: ScheduledRequest, signal: AbortSignal): Promise<ScheduleOutcome>;
    /** Gets the number of waiting requests. */
    getQueueLength(): number;
    /** Gets the number of running requests. */
    getRunningCount(): number;
    /** Refuses all waiting and all later requests, so that the sidecar can shut down. */
    drain(): void;
}
