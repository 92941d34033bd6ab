/*
 * The durable state of a member over an opened folder. Records asked for while a write is under way share the next write
 * and its sync. After the first failure nothing more is written, since what a failed sync left on the disk is unknown.
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

interface LogStorageOptions {
    folder: string;
    fileSystem: StorageFileSystem;
    memberId: string;
    hardState: HardState;
    snapshot: StoredSnapshot | undefined;
    entries: EntryList;
    segmentWriter: SegmentWriter;
    /** Releases the folder's lock. */
    releaseLock: () => Promise<void>;
}

interface PendingWrite {
    records: readonly LogRecord[];
    resolve: (outcome: StorageWriteOutcome) => void;
}

/**
 * Creates durable storage from what a folder was found to hold.
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
        return runUnlessFailed(removeCoveredFiles);
    }

    /** Removes the files that the newest snapshot makes needless. */
    async function removeCoveredFiles(): Promise<void> {
        await segmentWriter.removeSegmentsBefore(entries.getFirstIndex());
        const numbers = snapshotFileNames.getFileNumbers(await fileSystem.listFolder(folder));
        for (const snapshotNumber of numbers.filter(candidate => BigInt(candidate) < (snapshot?.index ?? 0n))) {
            await fileSystem.remove(join(folder, snapshotFileNames.getFileName(snapshotNumber)));
        }
    }

    /** Replaces a file after those asked for before. */
    function replaceFile(name: string, content: readonly Uint8Array[]): Promise<StorageWriteOutcome> {
        lastReplacement = lastReplacement.then(() =>
            runUnlessFailed(() => writeFileAtomically(fileSystem, join(folder, name), content))
        );
        return lastReplacement;
    }

    /** Applies records in memory and writes them together with others asked for meanwhile. */
    function writeRecords(records: readonly LogRecord[]): Promise<StorageWriteOutcome> {
        records.forEach(record => entries.applyRecord(record));
        return new Promise(resolve => {
            pendingWrites.push({ records, resolve });
            activeWrite ??= writePending();
        });
    }

    /** Writes what is asked for until nothing is left; what gathers during a sync shares the next one. */
    async function writePending(): Promise<void> {
        while (pendingWrites.length > 0) {
            const batch = pendingWrites;
            pendingWrites = [];
            const outcome = await runUnlessFailed(() => segmentWriter.write(batch.flatMap(item => item.records)));
            batch.forEach(item => item.resolve(outcome));
        }
        activeWrite = undefined;
    }

    /** Runs an operation on the disk, unless the disk failed before. */
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
