/*
 * How the reading of a request's body ends.
 */

/** The outcome for one body. */
export type BodyOutcome =
    | { kind: "read"; body: Uint8Array; }
    /** It exceeds the limit; the connection must be closed after the response unless the rest is discarded. */
    | { kind: "tooLarge"; mustClose: boolean; }
    /** There was no memory for it in time, or others needed the memory that it held without progress. */
    | { kind: "overloaded"; }
    /** Nothing of it arrived for too long. */
    | { kind: "timedOut"; }
    /** The connection was closed before the end of the body. */
    | { kind: "aborted"; };
