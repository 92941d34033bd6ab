/*
 * Percentiles of durations.
 */

/** Percentiles in milliseconds. */
export interface Percentiles {
    /** The median. */
    p50: number;
    /** The 95th percentile. */
    p95: number;
    /** The 99th percentile. */
    p99: number;
}
