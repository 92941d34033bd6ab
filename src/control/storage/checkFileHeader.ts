/*
 * Checks the header at the start of the binary files of a log's folder.
 */
import { crc32 } from "node:zlib";
import { fileHeaderBytes } from "./fileHeaderBytes";
import { FileKind } from "./FileKind";
import { storageFormatVersion } from "./storageFormatVersion";

/**
 * Checks a file's header.
 * @param content - The file's content.
 * @param kind - The kind of file expected.
 * @returns The problem with the header, as the predicate of a sentence about the file; undefined if it is valid.
 */
export function checkFileHeader(content: Buffer, kind: FileKind): string | undefined {
    if (content.length < fileHeaderBytes) {
        return "is shorter than its header";
    }
    if (content.readUInt32LE(12) !== crc32(content.subarray(0, 12))) {
        return "has a header whose checksum does not match";
    }
    if (content.toString("latin1", 0, 8) !== kind) {
        return "has the header of another kind of file";
    }
    const version = content.readUInt32LE(8);
    if (version !== storageFormatVersion) {
        return `has format version ${version}, and this program reads version ${storageFormatVersion}`;
    }
    return undefined;
}
