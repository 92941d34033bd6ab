/*
 * Checks a key or token against the digests that are accepted. Several digests may be accepted at once, so that a new
 * key can be distributed before the old one is revoked.
 */
import { areDigestsEqual } from "./areDigestsEqual";
import { createKeyDigest } from "./createKeyDigest";

/**
 * Tells whether a key or token has one of the digests. It compares all of them, so that the time taken does not reveal
 * which one matches.
 * @param key - The key or token as its holder sent it.
 * @param digests - The accepted digests, in hexadecimal.
 */
export function isKeyAccepted(key: string, digests: readonly string[]): boolean {
    const digest = createKeyDigest(key);
    return digests.map(accepted => areDigestsEqual(digest, accepted)).includes(true);
}
