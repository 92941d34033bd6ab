/*
 * Puts the snapshots of several parts into one.
 */
import { namedSnapshotFormat } from "./namedSnapshotFormat";

const { magicNumber, headerBytes, snapshotLengthOffsetBytes, lengthFieldsBytes } = namedSnapshotFormat;

/** Encodes snapshots under their names. */
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
