/*
 * The options of the first-come scheduler.
 */
import { Clock } from "../runtime";

/** How much a first-come scheduler takes. */
export interface FifoSchedulerOptions {
    /** The passing of time. */
    clock: Clock;
    /** How many requests run at once. */
    maximumRunning: number;
    /** How many requests may wait. */
    maximumQueued: number;
}
