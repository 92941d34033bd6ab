/*
 * The events of an attempt's response, independent of the connections that carried them.
 */
import { DispatchEvent } from "../../protocol";

/** One event of an attempt's response. The last is an `end` or `refused` event, or the cause why there is none. */
export type AttemptStreamEvent =
    /** The next event of the response. */
    | { kind: "event"; event: DispatchEvent; }
    /** The response can't be followed any further. */
    | { kind: "stopped"; cause: AttemptStopCause; message: string; };

/** Why an attempt can't be followed to its last event. */
type AttemptStopCause =
    /** No connection was established, so no byte of the attempt was sent. */
    | "notConnected"
    /** The sidecar responds, but has not received the attempt or no longer has it in memory. */
    | "unknown"
    /** The sidecar has restarted since the attempt was dispatched. */
    | "restarted"
    /** The sidecar has discarded the next event of the response. */
    | "discarded"
    /** The sidecar does not respond. */
    | "lost"
    /** The caller has disconnected, or the deadline has passed. */
    | "aborted";
