/*
 * Random kinds of clients, the same ones for the same seed.
 */
import fc from "fast-check";
import type { CrowdRequest } from "./startCrowd";

const kindCount = 60;
const clientsOfKind = 5;
const minimumPartBytes = 512;
const maximumPartBytes = 65_536;
/** Clients that pause send fewer parts, so that all have sent theirs after some seconds. */
const maximumPausedParts = 100;

/**
 * Creates the kinds. Their bodies have a length or are sent in chunks of any size, and most stop short of their end.
 * @param seed - Selects the kinds.
 * @param maximumBodyBytes - The maximum size of a body within the limit, in bytes.
 */
export function createRandomCrowd(seed: number, maximumBodyBytes: number): CrowdRequest[] {
    const kinds = fc.record({
        isChunked: fc.boolean(),
        chunkBytes: fc.oneof(fc.integer({ min: 1, max: 16 }), fc.integer({ min: 17, max: maximumPartBytes })),
        partBytes: fc.integer({ min: minimumPartBytes, max: maximumPartBytes }),
        lengthShare: fc.oneof(fc.constant(1), fc.double({ min: 0.01, max: 4, noNaN: true })),
        sentShare: fc.oneof(fc.constant(0.999), fc.double({ min: 0, max: 1, noNaN: true })),
        pauseMilliseconds: fc.constantFrom(0, 0, 5, 20, 100),
        isWhole: fc.constantFrom(false, false, false, true),
    });
    return fc.sample(kinds, { seed, numRuns: kindCount }).map(kind => {
        const totalBytes = Math.max(1, Math.floor(kind.lengthShare * maximumBodyBytes));
        const sentBytes = kind.isWhole ? totalBytes : Math.floor(kind.sentShare * totalBytes);
        const { pauseMilliseconds, isChunked } = kind;
        const chunk = Buffer.from(`${kind.chunkBytes.toString(16)}\r\n${"a".repeat(kind.chunkBytes)}\r\n`);
        const part = isChunked
            ? Buffer.concat(Array.from({ length: Math.ceil(kind.partBytes / kind.chunkBytes) }, () => chunk))
            : Buffer.alloc(kind.partBytes, "a");
        const wholeParts = Math.floor(sentBytes / kind.partBytes);
        const restBytes = sentBytes - wholeParts * kind.partBytes;
        return {
            count: clientsOfKind,
            lengthHeader: isChunked ? "Transfer-Encoding: chunked" : `Content-Length: ${totalBytes}`,
            part,
            partCount: pauseMilliseconds > 0 ? Math.min(maximumPausedParts, wholeParts) : wholeParts,
            lastPart: isChunked
                ? kind.isWhole ? Buffer.from("0\r\n\r\n") : undefined
                : Buffer.alloc(pauseMilliseconds > 0 ? 0 : restBytes, "a"),
            pauseMilliseconds,
        };
    });
}
