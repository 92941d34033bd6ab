/*
 * Statistics of a time window within a run.
 */
import { Percentiles } from "./Percentiles";

/** Statistics of the completions that arrived within a time window. */
export interface WindowStatistics {
    /** The number of completions that arrived. */
    requests: number;
    /** The share of all prompt tokens that were cached. */
    prefixHitRate: number;
    /** The time from the scheduled arrival to the first token. */
    timeToFirstTokenMilliseconds: Percentiles;
}
