// Ties a code cache to its bundle. V8 compares only the length of the source, and crashes on a damaged cache, as it doesn't verify
// its checksum.
import { createHash } from "node:crypto";

/** The length of the digest, which precedes the data of the cache in its file. */
export const digestBytes = 32;

/**
 * Computes the digest of a code cache, of its bundle and of what else it depends on.
 * @param bundle - The bytes of the bundle.
 * @param cachedData - The data of the cache.
 */
export function getCacheDigest(bundle, cachedData) {
    return createHash("sha256")
        .update(`${process.version} ${process.arch} ${bundle.length}\n`)
        .update(bundle)
        .update(cachedData)
        .digest();
}
