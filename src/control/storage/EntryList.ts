/*
 * The entries of a log in memory.
 */
import { LogEntry } from "../../protocol";
import { LogRecord } from "./LogRecord";

/** The entries kept, in order and without gaps. */
export interface EntryList {
    /** Gets the index of the first entry, or the next one to come where there is none. */
    getFirstIndex(): bigint;
    /** Gets the index after the last entry. */
    getNextIndex(): bigint;
    /** Gets the bytes of the entries on disk. */
    getEntryBytes(): number;
    /** Gets an entry; undefined where it is not held. */
    getEntry(index: bigint): LogEntry | undefined;
    /** Gets entries from an index on, up to a number of bytes but at least one. */
    getEntries(fromIndex: bigint, maximumBytes: number): readonly LogEntry[];
    /**
     * Applies a record.
     * @returns What is wrong with the record; undefined where it fits.
     */
    applyRecord(record: LogRecord): string | undefined;
    /** Forgets the entries before an index. */
    discardBefore(index: bigint): void;
}
