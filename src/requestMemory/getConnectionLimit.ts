/*
 * Derives the number of connections of callers from the descriptors and the memory of the process.
 */

/** The share of the descriptors for callers' connections; the others are those of backend servers, control and files. */
const descriptorShare = 0.6;
/** What a connection without a request occupies in Node.js, in bytes, with a margin. */
const connectionBytes = 16_384;
/** The share of the memory of a process that idle connections may occupy. */
const memoryShare = 0.25;

/**
 * Gets the number of connections that callers may have at the same time.
 * @param maximumDescriptors - The descriptors of the process; undefined for no limit on connections.
 * @param memoryBytes - The memory of the process, in bytes; undefined for no limit.
 */
export function getConnectionLimit(
    maximumDescriptors: number | undefined,
    memoryBytes: number | undefined,
): number | undefined {
    return maximumDescriptors === undefined
        ? undefined
        : Math.max(
            1,
            Math.floor(Math.min(
                descriptorShare * maximumDescriptors,
                memoryShare * (memoryBytes ?? Infinity) / connectionBytes,
            )),
        );
}
