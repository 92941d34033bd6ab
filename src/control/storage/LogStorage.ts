/*
 * The durable state of one member of a replicated log.
 */
import { LogEntry } from "../../protocol";
import { Stoppable } from "../../runtime";
import { HardState } from "./HardState";
import { StorageWriteOutcome } from "./StorageWriteOutcome";
import { StoredSnapshot } from "./StoredSnapshot";

/**
 * Durable storage of a log. A write is visible to the getters as soon as it is asked for; its promise resolves only once
 * what it covers is synced to disk, or has failed.
 */
export interface LogStorage extends Stoppable {
    /** The identity of the disk's content; an emptied folder gets a new one. */
    readonly memberId: string;
    /** Gets the term and vote. */
    getHardState(): HardState;
    /** Replaces the term and vote. */
    setHardState(state: HardState): Promise<StorageWriteOutcome>;
    /** Gets the index of the first entry kept. */
    getFirstIndex(): bigint;
    /** Gets the index of the last entry kept, or of the snapshot where none is. */
    getLastIndex(): bigint;
    /** Gets the term of an entry or of the snapshot's last; undefined where the index is not held. */
    getTerm(index: bigint): bigint | undefined;
    /** Gets entries from an index on, up to a number of bytes but at least one. */
    getEntries(fromIndex: bigint, maximumBytes: number): readonly LogEntry[];
    /** Gets the bytes of the entries kept. */
    getEntryBytes(): number;
    /** Adds entries behind the last one. */
    addEntries(entries: readonly LogEntry[]): Promise<StorageWriteOutcome>;
    /** Removes the entries from an index on. */
    removeEntriesFrom(index: bigint): Promise<StorageWriteOutcome>;
    /** Gets the newest snapshot. */
    getSnapshot(): StoredSnapshot | undefined;
    /**
     * Replaces the snapshot, and removes the entries that it covers. Entries behind it are removed too where they do not
     * continue it.
     * @param snapshot - The new snapshot.
     * @param retainedEntries - How many of the covered entries are kept for members that are a little behind.
     */
    setSnapshot(snapshot: StoredSnapshot, retainedEntries?: number): Promise<StorageWriteOutcome>;
}
