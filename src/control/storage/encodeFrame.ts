/*
 * Encodes records that are written and synced together as one frame with one checksum. Because a frame is written only
 * after the previous one is synced, a damaged frame that is followed by a valid one must have been acknowledged.
 */
import { assertNever } from "../../errors";
import { entryHeaderBytes } from "./entryHeaderBytes";
import { frameHeaderBytes } from "./frameHeaderBytes";
import { frameMagic } from "./frameMagic";
import { getFrameChecksum } from "./getFrameChecksum";
import { getRecordBytes } from "./getRecordBytes";
import { LogRecord } from "./LogRecord";
import { RecordKind } from "./RecordKind";

/**
 * Encodes a frame.
 * @param records - The records, in order.
 * @param salt - The salt of the segment's checksums.
 * @param fileOffset - The offset of the frame in its file, in bytes.
 */
export function encodeFrame(records: readonly LogRecord[], salt: number, fileOffset: number): Buffer {
    const payloadBytes = records.reduce((sum, record) => sum + getRecordBytes(record), 0);
    const frame = Buffer.allocUnsafe(frameHeaderBytes + payloadBytes);
    let offset = frameHeaderBytes;
    for (const record of records) {
        writeRecord(frame, offset, record);
        offset += getRecordBytes(record);
    }
    frame.write(frameMagic, 0, "latin1");
    frame.writeUInt32LE(payloadBytes, 4);
    frame.writeUInt32LE(getFrameChecksum(salt, fileOffset, frame.subarray(frameHeaderBytes)), 8);
    return frame;
}

/** Writes one record at an offset of a frame. */
function writeRecord(frame: Buffer, offset: number, record: LogRecord): void {
    frame.writeUInt8(record.kind, offset);
    switch (record.kind) {
        case RecordKind.Entry: {
            const { entry } = record;
            frame.writeBigUInt64LE(entry.term, offset + 1);
            frame.writeBigUInt64LE(entry.index, offset + 9);
            frame.writeBigUInt64LE(entry.timeMilliseconds, offset + 17);
            frame.writeUInt8(entry.kind, offset + 25);
            frame.writeUInt32LE(entry.data.length, offset + 26);
            frame.set(entry.data, offset + entryHeaderBytes);
            return;
        }
        case RecordKind.Truncation:
        case RecordKind.Reset:
            frame.writeBigUInt64LE(record.index, offset + 1);
            return;
        default:
            assertNever(record);
    }
}
