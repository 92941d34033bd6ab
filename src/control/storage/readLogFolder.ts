/*
 * Reads a log's folder without changing it, and validates its whole content.
 */
import { join } from "node:path";
import { createEntryList } from "./createEntryList";
import { decodeChecksummedFile } from "./decodeChecksummedFile";
import { DecodeOutcome } from "./DecodeOutcome";
import { decodeSegment } from "./decodeSegment";
import { decodeSnapshot } from "./decodeSnapshot";
import { EntryList } from "./EntryList";
import { FileKind } from "./FileKind";
import { getHighestIndex } from "./getHighestIndex";
import { getSegmentSalt } from "./getSegmentSalt";
import { HardState } from "./HardState";
import { LogFolderContent } from "./LogFolderContent";
import { LogRecord } from "./LogRecord";
import { segmentFileNames } from "./segmentFileNames";
import { SegmentSummary } from "./SegmentSummary";
import { snapshotFileNames } from "./snapshotFileNames";
import { StorageFileName } from "./StorageFileName";
import { StorageFileSystem } from "./StorageFileSystem";
import { StoredSnapshot } from "./StoredSnapshot";

/**
 * Reads and validates a log's folder without changing it.
 * @param folder - The path of the folder.
 * @param fileSystem - The file system that contains the folder.
 * @returns The folder's content, or a sentence that describes the damage.
 */
export async function readLogFolder(
    folder: string,
    fileSystem: StorageFileSystem,
): Promise<DecodeOutcome<LogFolderContent>> {
    const names = await fileSystem.listFolder(folder);
    const segmentNumbers = segmentFileNames.getFileNumbers(names);
    const snapshotNumber = snapshotFileNames.getFileNumbers(names).at(-1);
    const currentSegmentNumbers = getLastRun(segmentNumbers);
    const hasLogFiles = segmentNumbers.length > 0 || snapshotNumber !== undefined;
    const memberId = await readMemberId();
    if (memberId.kind === "corrupt") {
        return memberId;
    }
    const hardState = await readHardState();
    if (hardState.kind === "corrupt") {
        return hardState;
    }
    const snapshot = await readSnapshot();
    if (snapshot.kind === "corrupt") {
        return snapshot;
    }
    const entries = createEntryList();
    const segments = await readSegments(memberId.value ?? "", entries, snapshot.value);
    if (segments.kind === "corrupt") {
        return segments;
    }
    const resetCheck = checkAgainstSnapshot(entries, snapshot.value);
    if (resetCheck.kind === "corrupt") {
        return resetCheck;
    }
    return {
        kind: "decoded",
        value: {
            memberId: memberId.value,
            hardState: hardState.value,
            snapshot: snapshot.value,
            entries,
            segments: segments.value,
            obsoleteSegmentNumbers: segmentNumbers.filter(candidate => !currentSegmentNumbers.includes(candidate)),
            needsReset: resetCheck.value,
        },
    };

    async function readMemberId(): Promise<DecodeOutcome<string | undefined>> {
        const content = await fileSystem.readFile(join(folder, StorageFileName.Identity));
        if (!content) {
            const hasOtherFiles = hasLogFiles || names.includes(StorageFileName.HardState);
            return hasOtherFiles
                ? createCorruptOutcome(
                    StorageFileName.Identity,
                    "is missing, although the folder holds other files of the log",
                )
                : { kind: "decoded", value: undefined };
        }
        const payload = decodeChecksummedFile(FileKind.Identity, content);
        return payload.kind === "corrupt"
            ? createCorruptOutcome(StorageFileName.Identity, payload.reason)
            : { kind: "decoded", value: payload.value.toString("utf8") };
    }

    async function readHardState(): Promise<DecodeOutcome<HardState | undefined>> {
        const content = await fileSystem.readFile(join(folder, StorageFileName.HardState));
        if (!content) {
            return hasLogFiles
                ? createCorruptOutcome(
                    StorageFileName.HardState,
                    "is missing, although the folder holds segments or a snapshot",
                )
                : { kind: "decoded", value: undefined };
        }
        const payload = decodeChecksummedFile(FileKind.HardState, content);
        if (payload.kind === "corrupt") {
            return createCorruptOutcome(StorageFileName.HardState, payload.reason);
        }
        const { term, votedFor } = JSON.parse(payload.value.toString("utf8")) as { term: string; votedFor: string; };
        return { kind: "decoded", value: { term: BigInt(term), votedFor } };
    }

    async function readSnapshot(): Promise<DecodeOutcome<StoredSnapshot | undefined>> {
        if (snapshotNumber === undefined) {
            return { kind: "decoded", value: undefined };
        }
        const name = snapshotFileNames.getFileName(snapshotNumber);
        const content = await fileSystem.readFile(join(folder, name));
        const outcome = decodeSnapshot(content ?? new Uint8Array());
        return outcome.kind === "corrupt" ? createCorruptOutcome(name, outcome.reason) : outcome;
    }

    async function readSegments(
        identity: string,
        entryList: EntryList,
        storedSnapshot: StoredSnapshot | undefined,
    ): Promise<DecodeOutcome<readonly SegmentSummary[]>> {
        const summaries: SegmentSummary[] = [];
        for (const segmentNumber of currentSegmentNumbers) {
            const name = segmentFileNames.getFileName(segmentNumber);
            const content = await fileSystem.readFile(join(folder, name)) ?? new Uint8Array();
            const segment = decodeSegment(content, getSegmentSalt(identity, segmentNumber));
            const isLast = segmentNumber === segmentNumbers.at(-1);
            if (segment.tail.kind === "corrupt") {
                return createCorruptOutcome(name, segment.tail.reason);
            }
            if (segment.tail.kind === "torn" && !isLast) {
                return createCorruptOutcome(
                    name,
                    `is damaged at byte ${segment.validBytes}, although another segment follows`,
                );
            }
            const followsGap = summaries.length === 0 && segmentNumber !== segmentNumbers[0];
            if (followsGap && !coversSegmentsBefore(segment.records, storedSnapshot)) {
                return createCorruptOutcome(
                    segmentFileNames.getFileName(segmentNumber - 1),
                    "is missing between two other segments",
                );
            }
            const problem = segment.records.map(record => entryList.applyRecord(record)).find(found =>
                found !== undefined
            );
            if (problem !== undefined) {
                return createCorruptOutcome(name, problem);
            }
            summaries.push({
                segmentNumber,
                highestIndex: getHighestIndex(segment.records),
                validBytes: segment.validBytes,
                tornBytes: content.length - segment.validBytes,
            });
        }
        return { kind: "decoded", value: summaries };
    }
}

/**
 * Gets the last numbers that follow each other without a gap. A crash during the removal of covered segments may undo
 * any of the removals, so that older segments remain before a gap.
 */
function getLastRun(segmentNumbers: readonly number[]): readonly number[] {
    const start = segmentNumbers.findLastIndex((segmentNumber, position) =>
        segmentNumber !== (segmentNumbers[position - 1] ?? NaN) + 1
    );
    return segmentNumbers.slice(Math.max(start, 0));
}

/** Returns whether a snapshot covers all entries before a segment's records, so that earlier segments are obsolete. */
function coversSegmentsBefore(records: readonly LogRecord[], snapshot: StoredSnapshot | undefined): boolean {
    return snapshot !== undefined && getHighestIndex(records.slice(0, 1)) <= snapshot.index + 1n;
}

/** Checks that the entries and the snapshot leave no gap; the value is whether the snapshot must replace all entries. */
function checkAgainstSnapshot(entries: EntryList, snapshot: StoredSnapshot | undefined): DecodeOutcome<boolean> {
    const firstIndex = entries.getFirstIndex();
    const snapshotIndex = snapshot?.index ?? 0n;
    if (firstIndex > snapshotIndex + 1n) {
        return {
            kind: "corrupt",
            reason: `The log starts at entry ${firstIndex}, and no snapshot covers the entries before it`,
        };
    }
    const isBehind = entries.getNextIndex() <= snapshotIndex;
    const entryTerm = entries.getEntry(snapshotIndex)?.term;
    const hasDiverged = entryTerm !== undefined && entryTerm !== snapshot?.term;
    return { kind: "decoded", value: isBehind || hasDiverged };
}

/** Gets the outcome for a damaged file. */
function createCorruptOutcome(name: string, reason: string): { kind: "corrupt"; reason: string; } {
    return { kind: "corrupt", reason: `The file ${name} ${reason}` };
}
