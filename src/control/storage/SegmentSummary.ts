/*
 * What is known of a segment file.
 */

/** A segment file. */
export interface SegmentSummary {
    /** The segment's number. */
    segmentNumber: number;
    /** The highest index that the segment's records speak of; 0 where it has none. */
    highestIndex: bigint;
    /** The bytes up to the end of the last whole frame. */
    validBytes: number;
    /** The bytes behind them that a crash left. */
    tornBytes: number;
}
