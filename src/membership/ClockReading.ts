/*
 * Declares a point in time from which a duration is measured.
 */

/** The values of both clocks at one moment. */
export interface ClockReading {
    /** The monotonic clock, in milliseconds. */
    monotonicMilliseconds: number;
    /** The wall clock, in milliseconds. */
    wallMilliseconds: number;
}
