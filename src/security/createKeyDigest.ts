/*
 * Digests of callers' keys and operators' tokens, of which only the digests are stored. Keys and tokens are long and
 * random, so a plain hash can't be reversed by trying likely inputs.
 */
import { createHash } from "node:crypto";

/**
 * Creates the digest under which a key or token is stored.
 * @param key - The key or token as its holder sends it.
 * @returns The SHA-256 of the key's UTF-8 bytes, in lower-case hexadecimal.
 */
export function createKeyDigest(key: string): string {
    return createHash("sha256").update(key, "utf8").digest("hex");
}
