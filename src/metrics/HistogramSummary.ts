/*
 * Percentiles of recorded durations.
 */

/** The statistics of a histogram; all but the count in milliseconds. */
export interface HistogramSummary {
    /** The number of recorded values. */
    count: number;
    /** The median. */
    p50: number;
    /** The 95th percentile. */
    p95: number;
    /** The 99th percentile. */
    p99: number;
    /** The maximum value. */
    maximum: number;
}
