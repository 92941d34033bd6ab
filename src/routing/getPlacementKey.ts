/*
 * The key by which a prompt is placed: the hash of a prefix that is long enough to spread a large workspace over
 * several backend servers, and short enough that requests about the same document share it.
 */

/** The number of leading blocks that decide placement. */
const placementBlocks = 3;

/**
 * Gets the hash by which a prompt is placed; undefined for a prompt without a complete block.
 * @param hashes - The chained hashes of the prompt's blocks, shortest prefix first.
 */
export function getPlacementKey(hashes: readonly string[]): string | undefined {
    return hashes[Math.min(hashes.length, placementBlocks) - 1];
}
