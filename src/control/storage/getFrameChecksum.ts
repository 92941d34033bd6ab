/*
 * The checksum of a frame, which also covers where the frame stands, so that bytes copied from elsewhere never pass.
 */
import { crc32 } from "node:zlib";

/**
 * Gets the checksum of a frame.
 * @param salt - The segment's salt.
 * @param offset - Where the frame starts in the file, in bytes.
 * @param payload - The frame's records.
 */
export function getFrameChecksum(salt: number, offset: number, payload: Uint8Array): number {
    const position = Buffer.alloc(8);
    position.writeUInt32LE(salt, 0);
    position.writeUInt32LE(offset, 4);
    return crc32(payload, crc32(position));
}
