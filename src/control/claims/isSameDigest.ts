/*
 * Compares digests of request bodies.
 */

/** Returns whether two digests are equal. */
export function isSameDigest(first: Uint8Array, second: Uint8Array): boolean {
    return Buffer.compare(first, second) === 0;
}
