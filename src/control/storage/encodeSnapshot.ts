/*
 * Encodes a snapshot file: a header, a descriptor with its checksum, the members, and the state machine's state. The
 * descriptor holds the checksums of members and state.
 */
import { toBinary } from "@bufbuild/protobuf";
import { crc32 } from "node:zlib";
import { MemberSetSchema } from "../../protocol";
import { encodeFileHeader } from "./encodeFileHeader";
import { FileKind } from "./FileKind";
import { snapshotDescriptorBytes } from "./snapshotDescriptorBytes";
import { StoredSnapshot } from "./StoredSnapshot";

/**
 * Encodes a snapshot.
 * @param snapshot - The snapshot.
 * @returns The parts of the file's content, in order.
 */
export function encodeSnapshot(snapshot: StoredSnapshot): readonly Uint8Array[] {
    const members = toBinary(MemberSetSchema, snapshot.members);
    const descriptor = Buffer.alloc(snapshotDescriptorBytes);
    descriptor.writeBigUInt64LE(snapshot.index, 0);
    descriptor.writeBigUInt64LE(snapshot.term, 8);
    descriptor.writeUInt32LE(members.length, 16);
    descriptor.writeUInt32LE(crc32(members), 20);
    descriptor.writeUInt32LE(snapshot.data.length, 24);
    descriptor.writeUInt32LE(crc32(snapshot.data), 28);
    descriptor.writeUInt32LE(crc32(descriptor.subarray(0, 32)), 32);
    return [encodeFileHeader(FileKind.Snapshot), descriptor, members, snapshot.data];
}
