/*
 * Appends frames to the newest segment, and starts another segment once it reaches its maximum size. A frame is written
 * only after the previous one is synced; the folder with a new segment's name is synced after the segment's first frame.
 */
import { join } from "node:path";
import { CounterName, Metrics } from "../../metrics";
import { encodeFileHeader } from "./encodeFileHeader";
import { encodeFrame } from "./encodeFrame";
import { fileHeaderBytes } from "./fileHeaderBytes";
import { FileKind } from "./FileKind";
import { getHighestIndex } from "./getHighestIndex";
import { getSegmentSalt } from "./getSegmentSalt";
import { LogRecord } from "./LogRecord";
import { segmentFileNames } from "./segmentFileNames";
import { SegmentSummary } from "./SegmentSummary";
import { SegmentWriter } from "./SegmentWriter";
import { StorageFile } from "./StorageFile";
import { StorageFileSystem } from "./StorageFileSystem";

/** The options of a segment writer. */
interface SegmentWriterOptions {
    /** The path of the log's folder. */
    folder: string;
    /** The file system that contains the folder. */
    fileSystem: StorageFileSystem;
    /** The metrics that count disk syncs. */
    metrics: Metrics;
    /** The member identity, from which the segments' salts are derived. */
    memberId: string;
    /** The existing segments, in ascending order; a torn write at the end of the last one is truncated. */
    segments: readonly SegmentSummary[];
    /** The size at which a segment is closed and a new one started, in bytes. */
    segmentBytes: number;
}

/** The segment that is being written. */
interface OpenSegment extends SegmentSummary {
    /** The segment's file, open for appending. */
    file: StorageFile;
    /** The salt of the segment's checksums. */
    salt: number;
}

/**
 * Creates a writer that continues after the existing segments.
 * @param options - The folder and its segments.
 */
export async function createSegmentWriter(options: SegmentWriterOptions): Promise<SegmentWriter> {
    const { folder, fileSystem, metrics, memberId, segmentBytes } = options;
    let closedSegments: SegmentSummary[] = [...options.segments];
    let currentSegment: OpenSegment | undefined = await reopenLastSegment();
    return { write, removeSegmentsBefore, close };

    async function write(records: readonly LogRecord[]): Promise<void> {
        const segment = await getWritableSegment();
        const isNew = segment.validBytes === 0;
        const frameOffset = isNew ? fileHeaderBytes : segment.validBytes;
        const frame = encodeFrame(records, segment.salt, frameOffset);
        const data = isNew ? Buffer.concat([encodeFileHeader(FileKind.Segment), frame]) : frame;
        await segment.file.append(data);
        await segment.file.sync();
        metrics.addCount(CounterName.DiskSyncs);
        if (isNew) {
            await fileSystem.syncFolder(folder);
        }
        segment.validBytes += data.length;
        const highestIndex = getHighestIndex(records);
        segment.highestIndex = highestIndex > segment.highestIndex ? highestIndex : segment.highestIndex;
    }

    /** Gets the current segment, or starts another one if it is full or there is none. */
    async function getWritableSegment(): Promise<OpenSegment> {
        if (currentSegment && currentSegment.validBytes < segmentBytes) {
            return currentSegment;
        }
        const previousNumber = currentSegment?.segmentNumber ?? closedSegments.at(-1)?.segmentNumber ?? 0;
        if (currentSegment) {
            await currentSegment.file.close();
            closedSegments.push(currentSegment);
        }
        currentSegment = await openSegment({
            segmentNumber: previousNumber + 1,
            highestIndex: 0n,
            validBytes: 0,
            tornBytes: 0,
        });
        return currentSegment;
    }

    /**
     * Opens the last segment, and truncates the torn write at its end. The rest is synced: a process that was killed may
     * have left a frame that is not durable, and this one acknowledges it and writes the next one after it.
     */
    async function reopenLastSegment(): Promise<OpenSegment | undefined> {
        const last = closedSegments.pop();
        if (!last) {
            return undefined;
        }
        const segment = await openSegment(last);
        try {
            if (segment.tornBytes > 0) {
                await segment.file.truncate(segment.validBytes);
                segment.tornBytes = 0;
            }
            await segment.file.sync();
            return segment;
        }
        catch (thrown) {
            await segment.file.close();
            throw thrown;
        }
    }

    async function openSegment(summary: SegmentSummary): Promise<OpenSegment> {
        const file = await fileSystem.openFile(join(folder, segmentFileNames.getFileName(summary.segmentNumber)));
        return { ...summary, file, salt: getSegmentSalt(memberId, summary.segmentNumber) };
    }

    async function removeSegmentsBefore(index: bigint): Promise<void> {
        const firstRetained = closedSegments.findIndex(segment => segment.highestIndex >= index);
        const removed = firstRetained === -1 ? closedSegments : closedSegments.slice(0, firstRetained);
        closedSegments = closedSegments.slice(removed.length);
        for (const segment of removed) {
            await fileSystem.remove(join(folder, segmentFileNames.getFileName(segment.segmentNumber)));
        }
        if (removed.length > 0) {
            await fileSystem.syncFolder(folder);
        }
    }

    async function close(): Promise<void> {
        await currentSegment?.file.close();
        currentSegment = undefined;
    }
}
