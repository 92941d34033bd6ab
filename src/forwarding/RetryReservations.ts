/*
 * The retries that requests have reserved for their next attempts.
 */
import { ForwardingTask } from "./ForwardingTask";

/** Takes retries from the budgets for attempts that are about to be sent, and gives those back that were not. */
export interface RetryReservations {
    /**
     * Reserves a retry for the next attempt, unless the request has one, or needs none as nothing was sent yet.
     * @returns Whether the attempt may be sent.
     */
    tryReserve(task: ForwardingTask): boolean;
    /**
     * Takes a retry for a second run of the request beside its first.
     * @returns Whether there was one left.
     */
    tryTake(task: ForwardingTask): boolean;
    /** Records that an attempt was sent, which uses its retry up. */
    recordSent(task: ForwardingTask): void;
    /** Gives a retry back that no attempt of the request has used. */
    release(task: ForwardingTask): void;
}
