/*
 * Makes of small seeds, which give similar first numbers, seeds that differ in all their bits.
 */
import { createHash } from "node:crypto";

/** Gets a seed that looks random from one that need not. */
export function getHashedSeed(seed: number): number {
    return createHash("sha256").update(String(seed)).digest().readInt32LE(0);
}
