/*
 * The extent of a segment file.
 */

/** The number and extent of a segment file. */
export interface SegmentSummary {
    /** The segment's number, which its file name contains. */
    segmentNumber: number;
    /** The highest index among the segment's records; 0 if it has none. */
    highestIndex: bigint;
    /** The size up to the end of the last valid frame, in bytes; 0 for a segment without a valid header. */
    validBytes: number;
    /** The size of the torn write after it, in bytes. */
    tornBytes: number;
}
