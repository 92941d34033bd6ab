/*
 * The monitor of the event loop's lag.
 */
import { Stoppable } from "../../runtime";

/** Measures by how much timers of the event loop fire late. */
export interface EventLoopLagMonitor extends Stoppable {
    /** Gets the 99th percentile of the lag, in milliseconds. */
    getLagMilliseconds(): number;
}
