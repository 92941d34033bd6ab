/*
 * The figures of a part of a run.
 */
import { Percentiles } from "./Percentiles";

/** What was measured of the completions that arrived within a window. */
export interface WindowStatistics {
    /** How many completions arrived. */
    requests: number;
    /** Cached prompt tokens of all prompt tokens. */
    prefixHitRate: number;
    /** Times to the first token. */
    timeToFirstTokenMilliseconds: Percentiles;
}
