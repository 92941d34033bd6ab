/*
 * One event of a stream.
 */

/** An event with its raw bytes. */
export interface StreamEvent {
    /** The event's id; undefined where it has none. */
    id: number | undefined;
    /** The event's bytes, including the empty line that ends it. */
    bytes: Uint8Array;
}
