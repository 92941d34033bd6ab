/*
 * A scheduler that can be held while its engine takes an order.
 */
import { RequestScheduler } from "../RequestScheduler";

/** Queues requests for one backend server, except while it is held. */
export interface PausableScheduler extends RequestScheduler {
    /**
     * Refuses new work and waits until what was taken has ended.
     * @param timeoutMilliseconds - How long to wait.
     * @param signal - Gives up waiting.
     * @returns A function that takes new work again; undefined where work was still running, and then it is taken again.
     */
    pause(timeoutMilliseconds: number, signal: AbortSignal): Promise<(() => void) | undefined>;
}
