/*
 * The durable state of one member of a replicated log: its term and vote, entries and snapshot.
 */
import { LogEntry } from "../../protocol";
import { Stoppable } from "../../runtime";
import { HardState } from "./HardState";
import { StorageWriteOutcome } from "./StorageWriteOutcome";
import { StoredSnapshot } from "./StoredSnapshot";

/**
 * Durable storage of a log. A write is visible to the getters as soon as it is requested. Its promise resolves once the
 * written data is synced to disk, or the write has failed.
 */
export interface LogStorage extends Stoppable {
    /** The member identity stored in the folder; a folder that has been emptied gets a new one. */
    readonly memberId: string;
    /** Gets the term and vote. */
    getHardState(): HardState;
    /**
     * Replaces the term and vote durably.
     * @param state - The new term and vote.
     */
    setHardState(state: HardState): Promise<StorageWriteOutcome>;
    /** Gets the index of the first retained entry. */
    getFirstIndex(): bigint;
    /** Gets the index of the last entry, or of the snapshot if no entries are retained. */
    getLastIndex(): bigint;
    /**
     * Gets the term of a retained entry or of the snapshot's last entry.
     * @param index - The entry's index; 0 has term 0 while the log still starts at entry 1.
     * @returns The term; undefined for any other index.
     */
    getTerm(index: bigint): bigint | undefined;
    /**
     * Gets consecutive entries.
     * @param fromIndex - The index of the first entry returned.
     * @param maximumBytes - The limit of the entries' total size in bytes; the first entry is returned even if it is larger.
     */
    getEntries(fromIndex: bigint, maximumBytes: number): readonly LogEntry[];
    /** Gets the size of the retained entries as encoded on disk, in bytes. */
    getEntryBytes(): number;
    /**
     * Appends entries after the last one.
     * @param entries - The entries; their indexes must continue the log without gaps.
     */
    addEntries(entries: readonly LogEntry[]): Promise<StorageWriteOutcome>;
    /**
     * Truncates the log.
     * @param index - The index of the first entry removed; all later entries are removed too.
     */
    removeEntriesFrom(index: bigint): Promise<StorageWriteOutcome>;
    /** Gets the newest snapshot; undefined if there is none. */
    getSnapshot(): StoredSnapshot | undefined;
    /**
     * Replaces the snapshot, and discards the entries that it covers. Later entries are discarded too if the log doesn't
     * contain the snapshot's last entry with the same term. A snapshot no newer than the present one is ignored.
     * @param snapshot - The new snapshot.
     * @param retainedEntries - The number of covered entries retained for members that lag slightly behind; 0 by default.
     */
    setSnapshot(snapshot: StoredSnapshot, retainedEntries?: number): Promise<StorageWriteOutcome>;
}
