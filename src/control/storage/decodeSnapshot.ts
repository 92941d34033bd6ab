/*
 * Decodes a snapshot file.
 */
import { fromBinary } from "@bufbuild/protobuf";
import { crc32 } from "node:zlib";
import { MemberSetSchema } from "../../protocol";
import { checkFileHeader } from "./checkFileHeader";
import { DecodeOutcome } from "./DecodeOutcome";
import { fileHeaderBytes } from "./fileHeaderBytes";
import { FileKind } from "./FileKind";
import { snapshotDescriptorBytes } from "./snapshotDescriptorBytes";
import { StoredSnapshot } from "./StoredSnapshot";

/**
 * Decodes a snapshot.
 * @param content - The file's content.
 * @returns The snapshot, or the reason why the file is corrupt.
 */
export function decodeSnapshot(content: Uint8Array): DecodeOutcome<StoredSnapshot> {
    const buffer = Buffer.from(content.buffer, content.byteOffset, content.length);
    const headerProblem = checkFileHeader(buffer, FileKind.Snapshot);
    if (headerProblem !== undefined) {
        return { kind: "corrupt", reason: headerProblem };
    }
    const descriptor = buffer.subarray(fileHeaderBytes, fileHeaderBytes + snapshotDescriptorBytes);
    if (
        descriptor.length < snapshotDescriptorBytes || descriptor.readUInt32LE(32) !== crc32(descriptor.subarray(0, 32))
    ) {
        return { kind: "corrupt", reason: "has a description whose checksum does not match" };
    }
    const membersStart = fileHeaderBytes + snapshotDescriptorBytes;
    const dataStart = membersStart + descriptor.readUInt32LE(16);
    const dataEnd = dataStart + descriptor.readUInt32LE(24);
    if (buffer.length !== dataEnd) {
        return { kind: "corrupt", reason: `is ${buffer.length} bytes long and should be ${dataEnd}` };
    }
    const members = buffer.subarray(membersStart, dataStart);
    const data = buffer.subarray(dataStart, dataEnd);
    if (crc32(members) !== descriptor.readUInt32LE(20) || crc32(data) !== descriptor.readUInt32LE(28)) {
        return { kind: "corrupt", reason: "has a state whose checksum does not match" };
    }
    return {
        kind: "decoded",
        value: {
            index: descriptor.readBigUInt64LE(0),
            term: descriptor.readBigUInt64LE(8),
            members: fromBinary(MemberSetSchema, members),
            data,
        },
    };
}
