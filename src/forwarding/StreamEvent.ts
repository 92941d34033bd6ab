/*
 * One event of a stream.
 */

/** An event, with the bytes that carry it. */
export interface StreamEvent {
    /** The event's id; undefined where it has none. */
    id: number | undefined;
    /** The bytes, up to and with the empty line at the event's end. */
    bytes: Uint8Array;
}
