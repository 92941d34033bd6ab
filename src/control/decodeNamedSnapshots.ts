/*
 * Decodes a snapshot that contains the snapshots of several parts.
 */
import { createInvariantError } from "../errors";
import { namedSnapshotFormat } from "./namedSnapshotFormat";

const { magicNumber, headerBytes, snapshotLengthOffsetBytes, lengthFieldsBytes } = namedSnapshotFormat;

/**
 * Decodes the snapshots of parts, by the parts' names.
 * @param bytes - The encoded snapshots.
 * @throws An invariant error if the format is invalid. The storage has already verified the bytes, so that an invalid
 *     format can only be a fault of the program.
 */
export function decodeNamedSnapshots(bytes: Uint8Array): Map<string, Uint8Array> {
    const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    const snapshots = new Map<string, Uint8Array>();
    if (buffer.length < headerBytes || buffer.readUInt32BE() !== magicNumber) {
        throw createInvariantError("A snapshot of the control state has an unknown format", { bytes: buffer.length });
    }
    let offset = headerBytes;
    while (offset < buffer.length) {
        const nameStart = offset + lengthFieldsBytes;
        if (nameStart > buffer.length) {
            throw createInvariantError("A snapshot of the control state is truncated", { offset });
        }
        const snapshotStart = nameStart + buffer.readUInt32BE(offset);
        const snapshotEnd = snapshotStart + buffer.readUInt32BE(offset + snapshotLengthOffsetBytes);
        if (snapshotEnd > buffer.length) {
            throw createInvariantError("A snapshot of the control state is truncated", { offset });
        }
        snapshots.set(buffer.toString("utf8", nameStart, snapshotStart), buffer.subarray(snapshotStart, snapshotEnd));
        offset = snapshotEnd;
    }
    return snapshots;
}
