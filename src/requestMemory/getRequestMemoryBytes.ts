/*
 * Derives the memory for bodies from that of the process.
 */

/**
 * The share of the memory of a process that bodies may occupy. An entry process of 160 MB occupies about 95 MB without
 * requests, and up to 32 MB of received chunks between two collections of garbage.
 */
const memoryShare = 1 / 10;
/** The memory of the smallest processes, for which this share was measured, in bytes. */
const smallestMemoryBytes = 160 * 1_048_576;
/** The share of the memory beyond that; what the process occupies without requests doesn't grow with it. */
const furtherMemoryShare = 1 / 4;
/** How much more than the largest body the memory is at least; large bodies may reserve three quarters of it. */
const largestBodyFactor = 1.5;

/**
 * Gets the bytes that the bodies of all requests may occupy together: at least one body of the largest size.
 * @param memoryBytes - The memory of the process, in bytes; undefined for no limit.
 * @param maximumBodyBytes - The maximum size of a body, in bytes.
 */
export function getRequestMemoryBytes(memoryBytes: number | undefined, maximumBodyBytes: number): number {
    const processBytes = memoryBytes ?? Infinity;
    return Math.max(
        memoryShare * Math.min(processBytes, smallestMemoryBytes)
            + furtherMemoryShare * Math.max(0, processBytes - smallestMemoryBytes),
        largestBodyFactor * maximumBodyBytes,
    );
}
