/*
 * How a fault went by.
 */
import { WindowStatistics } from "./measures";

/** The figures before and after a fault. */
export interface FaultRecovery {
    /** The fault. */
    fault: string;
    /** When it happened, in seconds from the start of the measured time. */
    atSeconds: number;
    /** The 15 s before. */
    before: WindowStatistics;
    /** The second after. */
    firstSecond: WindowStatistics;
    /** From 5 s to 20 s after. */
    after: WindowStatistics;
}
