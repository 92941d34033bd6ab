/*
 * Encodes the small files that are always replaced as a whole: a header, the payload's length and checksum, and the
 * payload.
 */
import { crc32 } from "node:zlib";
import { encodeFileHeader } from "./encodeFileHeader";
import { FileKind } from "./FileKind";

/**
 * Encodes a file that consists of a header and one checksummed payload.
 * @param kind - The kind of file.
 * @param payload - The payload.
 */
export function encodeChecksummedFile(kind: FileKind, payload: Uint8Array): Uint8Array {
    const payloadHeader = Buffer.alloc(8);
    payloadHeader.writeUInt32LE(payload.length, 0);
    payloadHeader.writeUInt32LE(crc32(payload), 4);
    return Buffer.concat([encodeFileHeader(kind), payloadHeader, payload]);
}
