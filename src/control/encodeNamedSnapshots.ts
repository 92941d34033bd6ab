/*
 * Encodes the snapshots of several parts as one.
 */
import { namedSnapshotFormat } from "./namedSnapshotFormat";

const { magicNumber, headerBytes, snapshotLengthOffsetBytes, lengthFieldsBytes } = namedSnapshotFormat;

/**
 * Encodes the snapshots of parts.
 * @param snapshots - The snapshots, by the parts' names.
 */
export function encodeNamedSnapshots(snapshots: ReadonlyMap<string, Uint8Array>): Uint8Array {
    const header = Buffer.alloc(headerBytes);
    header.writeUInt32BE(magicNumber);
    const frames = [...snapshots].flatMap(([name, snapshot]) => {
        const nameBytes = Buffer.from(name);
        const lengths = Buffer.alloc(lengthFieldsBytes);
        lengths.writeUInt32BE(nameBytes.length, 0);
        lengths.writeUInt32BE(snapshot.length, snapshotLengthOffsetBytes);
        return [lengths, nameBytes, snapshot];
    });
    return Buffer.concat([header, ...frames]);
}
