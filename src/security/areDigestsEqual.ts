/*
 * Compares digests without telling by time how far they agree.
 */
import { timingSafeEqual } from "node:crypto";

const digestPattern = /^[0-9a-f]{64}$/;

/**
 * Tells whether two digests in hexadecimal are equal, in a time that does not depend on where they differ.
 * @param first - A digest made by `createKeyDigest`.
 * @param second - The other digest; one that is malformed equals none.
 */
export function areDigestsEqual(first: string, second: string): boolean {
    if (!digestPattern.test(first) || !digestPattern.test(second)) {
        return false;
    }
    return timingSafeEqual(Buffer.from(first, "hex"), Buffer.from(second, "hex"));
}
