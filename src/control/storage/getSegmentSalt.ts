/*
 * Calculates the salt of a segment's checksums.
 */
import { crc32 } from "node:zlib";

/**
 * Gets the salt of a segment's checksums. It differs between members and segments, so that frames of another member's or
 * another segment's file are invalid.
 * @param memberId - The member identity stored in the folder.
 * @param segmentNumber - The segment's number.
 */
export function getSegmentSalt(memberId: string, segmentNumber: number): number {
    return crc32(`${memberId}:${segmentNumber}`);
}
