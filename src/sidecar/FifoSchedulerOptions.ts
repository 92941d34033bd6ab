/*
 * The options of the FIFO scheduler.
 */
import { Clock } from "../runtime";

/** The clock and the limits of a FIFO scheduler. */
export interface FifoSchedulerOptions {
    /** The clock that deadlines and queue times are measured with. */
    clock: Clock;
    /** The maximum number of requests that run at once. */
    maximumRunning: number;
    /** The maximum number of requests that wait. */
    maximumQueued: number;
}
