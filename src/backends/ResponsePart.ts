/*
 * The parts of a response over HTTP.
 */

/** What of a response has been read. */
export enum ResponsePart {
    /** None of it: its request is sent. */
    None = "none",
    /** Its head. */
    Head = "head",
    /** Bytes of its body. */
    Body = "body",
}
