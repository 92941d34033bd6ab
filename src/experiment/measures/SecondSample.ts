/*
 * The figures of one second of a run.
 */

/** The figures of the completions that arrived within one second. */
export interface SecondSample {
    /** The number of the second, from 0 at the start of the measured time. */
    second: number;
    /** The number of completions that arrived. */
    requests: number;
    /** The share of all prompt tokens that were cached. */
    prefixHitRate: number;
    /** The 95th percentile of the time to the first token, in milliseconds. */
    timeToFirstTokenMilliseconds: number;
    /** The number of prompt tokens computed within the second although an engine held them already. */
    wastedTokens: number;
}
