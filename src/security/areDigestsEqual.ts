/*
 * Compares digests in constant time.
 */
import { timingSafeEqual } from "node:crypto";

const digestPattern = /^[0-9a-f]{64}$/;

/**
 * Tells whether two digests in hexadecimal are equal, in a time that does not depend on where they differ. This keeps
 * the response time from revealing parts of a stored digest.
 * @param first - A digest made by `createKeyDigest`.
 * @param second - The other digest.
 * @returns False also if a digest is malformed.
 */
export function areDigestsEqual(first: string, second: string): boolean {
    if (!digestPattern.test(first) || !digestPattern.test(second)) {
        return false;
    }
    return timingSafeEqual(Buffer.from(first, "hex"), Buffer.from(second, "hex"));
}
