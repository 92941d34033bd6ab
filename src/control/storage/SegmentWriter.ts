/*
 * Writes the records of a log to its segments.
 */
import { LogRecord } from "./LogRecord";

/** The writer of a log's segments; failures of the system are thrown as they come. */
export interface SegmentWriter {
    /** Writes records as one frame, and waits until they are synced. */
    write(records: readonly LogRecord[]): Promise<void>;
    /** Removes the oldest segments as far as they speak only of entries before an index. */
    removeSegmentsBefore(index: bigint): Promise<void>;
    /** Closes the current segment. */
    close(): Promise<void>;
}
