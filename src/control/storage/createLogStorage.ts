/*
 * Stores a member's durable state in an opened folder. Records that are submitted during a write are batched into the next
 * write and share its sync. After the first failure nothing more is written, because the state on disk after a failed
 * sync is unknown.
 */
import { join } from "node:path";
import { LogEntry } from "../../protocol";
import { describeStorageError } from "./describeStorageError";
import { encodeHardState } from "./encodeHardState";
import { encodeSnapshot } from "./encodeSnapshot";
import { EntryList } from "./EntryList";
import { HardState } from "./HardState";
import { LogRecord } from "./LogRecord";
import { LogStorage } from "./LogStorage";
import { RecordKind } from "./RecordKind";
import { SegmentWriter } from "./SegmentWriter";
import { snapshotFileNames } from "./snapshotFileNames";
import { StorageFileName } from "./StorageFileName";
import { StorageFileSystem } from "./StorageFileSystem";
import { StorageWriteOutcome } from "./StorageWriteOutcome";
import { StoredSnapshot } from "./StoredSnapshot";
import { writeFileAtomically } from "./writeFileAtomically";

/** The opened folder and its recovered content. */
interface LogStorageOptions {
    /** The path of the log's folder. */
    folder: string;
    /** The file system that contains the folder. */
    fileSystem: StorageFileSystem;
    /** The member identity stored in the folder. */
    memberId: string;
    /** The term and vote. */
    hardState: HardState;
    /** The newest snapshot; undefined if there is none. */
    snapshot: StoredSnapshot | undefined;
    /** The entries of the segments. */
    entries: EntryList;
    /** The writer of the segments. */
    segmentWriter: SegmentWriter;
    /** Releases the folder's lock. */
    releaseLock: () => Promise<void>;
}

/** Records that wait for the next write. */
interface PendingWrite {
    /** The records, in order. */
    records: readonly LogRecord[];
    /** Resolves the promise of the caller that submitted the records. */
    resolve: (outcome: StorageWriteOutcome) => void;
}

/**
 * Creates durable storage on the recovered content of a folder.
 * @param options - The folder and its content.
 */
export function createLogStorage(options: LogStorageOptions): LogStorage {
    const { folder, fileSystem, memberId, entries, segmentWriter, releaseLock } = options;
    let { hardState, snapshot } = options;
    let failure: string | undefined;
    let pendingWrites: PendingWrite[] = [];
    let activeWrite: Promise<void> | undefined;
    let lastReplacement: Promise<StorageWriteOutcome> = Promise.resolve({ kind: "stored" });
    return {
        memberId,
        getHardState: () => hardState,
        setHardState,
        getFirstIndex: () => entries.getFirstIndex(),
        getLastIndex: () => entries.getNextIndex() - 1n,
        getTerm,
        getEntries: (fromIndex, maximumBytes) => entries.getEntries(fromIndex, maximumBytes),
        getEntryBytes: () => entries.getEntryBytes(),
        addEntries,
        removeEntriesFrom,
        getSnapshot: () => snapshot,
        setSnapshot,
        stop,
    };

    function getTerm(index: bigint): bigint | undefined {
        if (index === 0n) {
            return entries.getFirstIndex() === 1n ? 0n : undefined;
        }
        return snapshot?.index === index ? snapshot.term : entries.getEntry(index)?.term;
    }

    function setHardState(state: HardState): Promise<StorageWriteOutcome> {
        hardState = state;
        return replaceFile(StorageFileName.HardState, [encodeHardState(state)]);
    }

    function addEntries(added: readonly LogEntry[]): Promise<StorageWriteOutcome> {
        return writeRecords(added.map(entry => ({ kind: RecordKind.Entry, entry })));
    }

    function removeEntriesFrom(index: bigint): Promise<StorageWriteOutcome> {
        return writeRecords([{ kind: RecordKind.Truncation, index }]);
    }

    async function setSnapshot(newSnapshot: StoredSnapshot, retainedEntries = 0): Promise<StorageWriteOutcome> {
        if (snapshot && newSnapshot.index <= snapshot.index) {
            return { kind: "stored" };
        }
        const isInLog = getTerm(newSnapshot.index) === newSnapshot.term;
        snapshot = newSnapshot;
        const snapshotOutcome = await replaceFile(
            snapshotFileNames.getFileName(Number(newSnapshot.index)),
            encodeSnapshot(newSnapshot),
        );
        if (snapshotOutcome.kind === "failed") {
            return snapshotOutcome;
        }
        if (!isInLog) {
            const resetOutcome = await writeRecords([{ kind: RecordKind.Reset, index: newSnapshot.index + 1n }]);
            if (resetOutcome.kind === "failed") {
                return resetOutcome;
            }
        }
        entries.discardBefore(newSnapshot.index + 1n - BigInt(retainedEntries));
        return runUnlessFailed(() => removeCoveredFiles(newSnapshot.index));
    }

    /** Removes the segments and snapshots that a stored snapshot makes obsolete. A newer one may not be stored yet. */
    async function removeCoveredFiles(storedIndex: bigint): Promise<void> {
        await segmentWriter.removeSegmentsBefore(entries.getFirstIndex());
        const numbers = snapshotFileNames.getFileNumbers(await fileSystem.listFolder(folder));
        for (const snapshotNumber of numbers.filter(candidate => BigInt(candidate) < storedIndex)) {
            await fileSystem.remove(join(folder, snapshotFileNames.getFileName(snapshotNumber)));
        }
    }

    /** Replaces a file once all replacements requested earlier have finished. */
    function replaceFile(name: string, content: readonly Uint8Array[]): Promise<StorageWriteOutcome> {
        lastReplacement = lastReplacement.then(() =>
            runUnlessFailed(() => writeFileAtomically(fileSystem, join(folder, name), content))
        );
        return lastReplacement;
    }

    /** Applies records to the entries in memory, and submits them to the next batched write. */
    function writeRecords(records: readonly LogRecord[]): Promise<StorageWriteOutcome> {
        records.forEach(record => entries.applyRecord(record));
        return new Promise(resolve => {
            pendingWrites.push({ records, resolve });
            activeWrite ??= writePending();
        });
    }

    /** Writes the pending records in batches until none are left; records submitted during a sync form the next batch. */
    async function writePending(): Promise<void> {
        while (pendingWrites.length > 0) {
            const batch = pendingWrites;
            pendingWrites = [];
            const outcome = await runUnlessFailed(() => segmentWriter.write(batch.flatMap(item => item.records)));
            batch.forEach(item => item.resolve(outcome));
        }
        activeWrite = undefined;
    }

    /** Runs a disk operation, unless an earlier one has failed or the storage is closed. */
    async function runUnlessFailed(operation: () => Promise<void>): Promise<StorageWriteOutcome> {
        if (failure !== undefined) {
            return { kind: "failed", reason: failure };
        }
        try {
            await operation();
            return { kind: "stored" };
        }
        catch (thrown) {
            failure = describeStorageError(thrown);
            return { kind: "failed", reason: failure };
        }
    }

    async function stop(): Promise<void> {
        await activeWrite;
        await lastReplacement;
        failure ??= "The storage is closed";
        await segmentWriter.close();
        await releaseLock();
    }
}
