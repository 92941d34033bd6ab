/*
 * Decodes a segment file, and distinguishes a torn write at its end from damage to acknowledged records.
 */
import { checkFileHeader } from "./checkFileHeader";
import { decodeRecords } from "./decodeRecords";
import { fileHeaderBytes } from "./fileHeaderBytes";
import { FileKind } from "./FileKind";
import { frameHeaderBytes } from "./frameHeaderBytes";
import { frameMagic } from "./frameMagic";
import { getFrameChecksum } from "./getFrameChecksum";
import { LogRecord } from "./LogRecord";
import { SegmentContent } from "./SegmentContent";

/**
 * Decodes a segment file.
 * @param content - The file's content.
 * @param salt - The salt of the segment's checksums.
 */
export function decodeSegment(content: Uint8Array, salt: number): SegmentContent {
    const buffer = Buffer.from(content.buffer, content.byteOffset, content.length);
    const headerProblem = checkFileHeader(buffer, FileKind.Segment);
    if (headerProblem !== undefined) {
        return createDamagedContent([], 0, 0, headerProblem);
    }
    const records: LogRecord[] = [];
    let validFrameCount = 0;
    let offset = fileHeaderBytes;
    while (offset < buffer.length) {
        const payload = getFramePayload(buffer, offset, salt);
        if (payload === undefined) {
            return createDamagedContent(records, validFrameCount, offset, `is damaged at byte ${offset}`);
        }
        records.push(...decodeRecords(payload));
        validFrameCount += 1;
        offset += frameHeaderBytes + payload.length;
    }
    return { records, validFrameCount, validBytes: offset, tail: { kind: "intact" } };

    /** Creates the content of a damaged segment. Damage followed by a valid frame can't be a torn write. */
    function createDamagedContent(
        validRecords: readonly LogRecord[],
        validFrameCount: number,
        validBytes: number,
        problem: string,
    ): SegmentContent {
        const laterOffset = findFrame(buffer, validBytes, salt);
        const tail = laterOffset === undefined
            ? { kind: "torn" as const }
            : { kind: "corrupt" as const, reason: `${problem}, with intact records after it at byte ${laterOffset}` };
        return { records: validRecords, validFrameCount, validBytes, tail };
    }
}

/** Gets the payload of the frame at an offset; undefined if there is no valid frame. */
function getFramePayload(buffer: Buffer, offset: number, salt: number): Buffer | undefined {
    if (offset + frameHeaderBytes > buffer.length) {
        return undefined;
    }
    if (buffer.toString("latin1", offset, offset + frameMagic.length) !== frameMagic) {
        return undefined;
    }
    const payloadStart = offset + frameHeaderBytes;
    const payloadBytes = buffer.readUInt32LE(offset + 4);
    if (payloadBytes === 0 || payloadStart + payloadBytes > buffer.length) {
        return undefined;
    }
    const payload = buffer.subarray(payloadStart, payloadStart + payloadBytes);
    return buffer.readUInt32LE(offset + 8) === getFrameChecksum(salt, offset, payload) ? payload : undefined;
}

/** Gets the offset of the first valid frame at or after an offset; undefined if there is none. */
function findFrame(buffer: Buffer, fromOffset: number, salt: number): number | undefined {
    let offset = buffer.indexOf(frameMagic, fromOffset, "latin1");
    while (offset !== -1) {
        if (getFramePayload(buffer, offset, salt) !== undefined) {
            return offset;
        }
        offset = buffer.indexOf(frameMagic, offset + 1, "latin1");
    }
    return undefined;
}
