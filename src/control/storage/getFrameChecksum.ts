/*
 * Calculates the checksum of a frame. It also covers the frame's segment and offset, so that a frame copied from another
 * position is invalid.
 */
import { crc32 } from "node:zlib";

/**
 * Gets the checksum of a frame.
 * @param salt - The salt of the segment's checksums.
 * @param offset - The offset of the frame in its file, in bytes.
 * @param payload - The frame's encoded records.
 */
export function getFrameChecksum(salt: number, offset: number, payload: Uint8Array): number {
    const position = Buffer.alloc(8);
    position.writeUInt32LE(salt, 0);
    position.writeUInt32LE(offset, 4);
    return crc32(payload, crc32(position));
}
