/*
 * A scheduler that can be paused while its engine executes an order.
 */
import { RequestScheduler } from "../RequestScheduler";

/** Schedules requests for one backend server, and refuses them while it is paused. */
export interface PausableScheduler extends RequestScheduler {
    /**
     * Refuses new requests and waits until all admitted ones have ended.
     * @param timeoutMilliseconds - How long to wait.
     * @param signal - Aborts the wait.
     * @returns A function that resumes admission; undefined if requests were still in flight at the end of the wait,
     * and then admission has been resumed already.
     */
    pause(timeoutMilliseconds: number, signal: AbortSignal): Promise<(() => void) | undefined>;
}
