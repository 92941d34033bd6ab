/*
 * The level of a prompt that decides its choices of backend servers: deep enough to keep a large workspace from one of
 * them, and shallow enough that the requests about one document meet.
 */

const placementBlocks = 3;

/**
 * Gets the hash that a prompt is placed by; undefined for a prompt without a whole piece.
 * @param hashes - The hashes of the prompt's pieces, shortest prefix first.
 */
export function getPlacementKey(hashes: readonly string[]): string | undefined {
    return hashes[Math.min(hashes.length, placementBlocks) - 1];
}
