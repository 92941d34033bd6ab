/*
 * The effect of a fault and the recovery from it.
 */
import { WindowStatistics } from "./measures";

/** The statistics before and after a fault. */
export interface FaultRecovery {
    /** The fault's name. */
    fault: string;
    /** The time of the fault, in seconds from the start of the measured time. */
    atSeconds: number;
    /** The 15 s before the fault. */
    before: WindowStatistics;
    /** The first second after the fault. */
    firstSecond: WindowStatistics;
    /** The window from 5 s to 20 s after the fault. */
    after: WindowStatistics;
}
