/*
 * How late the process's tasks run.
 */
import { Stoppable } from "../../runtime";

/** Measures the lag of the event loop. */
export interface EventLoopLagMonitor extends Stoppable {
    /** Gets the lag that 99 in 100 samples do not exceed, in milliseconds. */
    getLagMilliseconds(): number;
}
