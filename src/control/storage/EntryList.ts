/*
 * The in-memory copy of the log's entries.
 */
import { LogEntry } from "../../protocol";
import { LogRecord } from "./LogRecord";

/** The retained entries, in order of their indexes and without gaps. */
export interface EntryList {
    /** Gets the index of the first entry, or of the next entry to be added if the list is empty. */
    getFirstIndex(): bigint;
    /** Gets the index after the last entry. */
    getNextIndex(): bigint;
    /** Gets the size of the entries as encoded on disk, in bytes. */
    getEntryBytes(): number;
    /** Gets the entry with an index; undefined if the list doesn't contain it. */
    getEntry(index: bigint): LogEntry | undefined;
    /**
     * Gets consecutive entries.
     * @param fromIndex - The index of the first entry returned.
     * @param maximumBytes - The limit of the entries' total size in bytes; the first entry is returned even if it is larger.
     */
    getEntries(fromIndex: bigint, maximumBytes: number): readonly LogEntry[];
    /**
     * Applies a record: adds its entry, removes the entries from its index on, or resets the list.
     * @param record - The record.
     * @returns The problem if the record doesn't continue the list, as the predicate of a sentence; otherwise undefined.
     */
    applyRecord(record: LogRecord): string | undefined;
    /** Discards the entries before an index. */
    discardBefore(index: bigint): void;
}
