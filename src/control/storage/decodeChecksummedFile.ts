/*
 * Decodes the small files that are always replaced as a whole; encodeChecksummedFile describes their format.
 */
import { crc32 } from "node:zlib";
import { checkFileHeader } from "./checkFileHeader";
import { DecodeOutcome } from "./DecodeOutcome";
import { fileHeaderBytes } from "./fileHeaderBytes";
import { FileKind } from "./FileKind";

/** The size of the payload's length (4) and checksum (4), in bytes. */
const payloadHeaderBytes = 8;

/**
 * Decodes a file that consists of a header and one checksummed payload.
 * @param kind - The kind of file expected.
 * @param content - The file's content.
 * @returns The payload, or the reason why the file is corrupt.
 */
export function decodeChecksummedFile(kind: FileKind, content: Uint8Array): DecodeOutcome<Buffer> {
    const buffer = Buffer.from(content.buffer, content.byteOffset, content.length);
    const problem = checkFileHeader(buffer, kind);
    if (problem !== undefined) {
        return { kind: "corrupt", reason: problem };
    }
    const payload = buffer.subarray(fileHeaderBytes + payloadHeaderBytes);
    if (
        buffer.length < fileHeaderBytes + payloadHeaderBytes || buffer.readUInt32LE(fileHeaderBytes) !== payload.length
    ) {
        return { kind: "corrupt", reason: "does not have the length that it states" };
    }
    if (buffer.readUInt32LE(fileHeaderBytes + 4) !== crc32(payload)) {
        return { kind: "corrupt", reason: "has a payload whose checksum does not match" };
    }
    return { kind: "decoded", value: payload };
}
