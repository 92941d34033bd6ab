/*
 * Checks a key or token against the digests that are accepted now. Several may be, so that a new one can be handed out
 * before the old one ends.
 */
import { areDigestsEqual } from "./areDigestsEqual";
import { createKeyDigest } from "./createKeyDigest";

/**
 * Tells whether a key or token has one of the digests. Looks at all of them, whichever fits.
 * @param key - The key or token as its holder sent it.
 * @param digests - The digests accepted.
 */
export function isKeyAccepted(key: string, digests: readonly string[]): boolean {
    const digest = createKeyDigest(key);
    return digests.map(accepted => areDigestsEqual(digest, accepted)).includes(true);
}
