/*
 * A point in time from which a duration is measured.
 */

/** What both clocks showed at one moment. */
export interface ClockReading {
    /** The monotonic clock, in milliseconds. */
    monotonicMilliseconds: number;
    /** The wall clock, in milliseconds. */
    wallMilliseconds: number;
}
