/*
 * The history of the most recent accepted changes.
 */
import { HistoryEntry } from "./HistoryEntry";

/** A history of limited size; each entry's revision is one more than that of the previous entry. */
export interface ConfigurationHistory {
    /** Adds the newest change and drops the oldest ones that exceed the limits. */
    addEntry(entry: HistoryEntry): void;
    /** Gets all entries, oldest first. */
    getEntries(): readonly HistoryEntry[];
    /**
     * Gets the entries after a revision, oldest first.
     * @param revision - The revision to continue from.
     * @returns The entries; undefined if some of them have been dropped or the revision is newer than the newest entry.
     */
    getEntriesSince(revision: bigint): readonly HistoryEntry[] | undefined;
    /** Replaces all entries. */
    replaceEntries(entries: readonly HistoryEntry[]): void;
}
