/*
 * The ways in which a backend server breaks off a response.
 */

/** Where and how a response is broken off. */
export enum SoakBreak {
    None = "none",
    /** Closes the connection normally in the middle of an event. */
    CloseInsideEvent = "closeInsideEvent",
    ResetInsideEvent = "resetInsideEvent",
    ResetBetweenEvents = "resetBetweenEvents",
    /** Bytes that are no event follow without end, until the connection is closed. */
    BytesWithoutEnd = "bytesWithoutEnd",
}
