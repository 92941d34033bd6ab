/*
 * Bytes that arrive in parts.
 */

/** Collects bytes; small parts are joined, so that the memory that they occupy is about their length. */
export interface ByteCollector {
    /** Adds a part, which isn't changed from then on. */
    add(part: Uint8Array): void;
    /** Gets the number of bytes that are collected. */
    getLength(): number;
    /** Removes all bytes and returns them, in parts. */
    takeParts(): Uint8Array[];
}
