/*
 * A scheduler that can be held while its engine takes an order.
 */
import { RequestScheduler } from "../RequestScheduler";

/** Queues requests for one backend server, except while it is held. */
export interface HoldableScheduler extends RequestScheduler {
    /**
     * Refuses new work and waits until what was taken has ended.
     * @param deadlineMilliseconds - How long to wait.
     * @param signal - Gives up waiting.
     * @returns A function that takes new work again; undefined where work was still running, and then it is taken again.
     */
    hold(deadlineMilliseconds: number, signal: AbortSignal): Promise<(() => void) | undefined>;
}
