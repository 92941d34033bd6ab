/*
 * Hashes seeds. The random numbers of small seeds begin similarly; hashed seeds differ in all bits.
 */
import { createHash } from "node:crypto";

/**
 * Gets a seed with evenly distributed bits.
 * @param seed - Any number, such as a small integer.
 */
export function getHashedSeed(seed: number): number {
    return createHash("sha256").update(String(seed)).digest().readInt32LE(0);
}
