/*
 * Encodes the header at the start of the binary files of a log's folder: kind, format version and checksum.
 */
import { crc32 } from "node:zlib";
import { fileHeaderBytes } from "./fileHeaderBytes";
import { FileKind } from "./FileKind";
import { storageFormatVersion } from "./storageFormatVersion";

/**
 * Encodes the header of a file.
 * @param kind - The kind of file.
 */
export function encodeFileHeader(kind: FileKind): Buffer {
    const header = Buffer.alloc(fileHeaderBytes);
    header.write(kind, 0, "latin1");
    header.writeUInt32LE(storageFormatVersion, 8);
    header.writeUInt32LE(crc32(header.subarray(0, 12)), 12);
    return header;
}
