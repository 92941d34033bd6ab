/*
 * What is known of a body that occupies memory.
 */

/** The state of one body. */
export interface BodyState {
    /** The bytes that it may fill. */
    reservedBytes: number;
    /** The bytes that have arrived beyond these. */
    excessBytes: number;
    /** The bytes that it waits for in place of the reserved ones; undefined if it doesn't wait. */
    requestedBytes: number | undefined;
    /** When it began to wait, on the monotonic clock, in milliseconds. */
    waitingSinceMilliseconds: number;
    /** When a fair number of its bytes had arrived last, on the monotonic clock, in milliseconds. */
    progressMilliseconds: number;
    /** When any of its bytes arrived last, on the monotonic clock, in milliseconds. */
    arrivalMilliseconds: number;
    /** Whether all of it has arrived. */
    isComplete: boolean;
}
