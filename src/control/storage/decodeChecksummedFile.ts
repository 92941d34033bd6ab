/*
 * Reads small files that are replaced whole.
 */
import { crc32 } from "node:zlib";
import { checkFileHeader } from "./checkFileHeader";
import { DecodeOutcome } from "./DecodeOutcome";
import { fileHeaderBytes } from "./fileHeaderBytes";
import { FileKind } from "./FileKind";

const payloadHeaderBytes = 8;

/**
 * Decodes a file with one payload.
 * @param kind - The kind of file expected.
 * @param content - The file's content.
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
