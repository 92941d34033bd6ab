/*
 * The interface for writing a log's records to its segments.
 */
import { LogRecord } from "./LogRecord";

/** The writer of a log's segments; errors of the file system are thrown unchanged. */
export interface SegmentWriter {
    /** Appends records as one frame, and waits until it is synced. */
    write(records: readonly LogRecord[]): Promise<void>;
    /** Removes the oldest closed segments, up to the first one with a record of an index at or above the given one. */
    removeSegmentsBefore(index: bigint): Promise<void>;
    /** Closes the file of the current segment. */
    close(): Promise<void>;
}
