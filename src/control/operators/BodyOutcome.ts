/*
 * The outcome of reading a request's body.
 */

/** The parsed body, or why it couldn't be read. */
export type BodyOutcome =
    /** The body is the parsed JSON; undefined if the request has none. */
    | { kind: "read"; body: unknown; }
    /** The body exceeds the maximum size. */
    | { kind: "tooLarge"; }
    | { kind: "notJson"; problem: string; }
    /** The connection was closed before the body was complete. */
    | { kind: "aborted"; };
