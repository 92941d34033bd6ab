/*
 * An attempt's answer, whichever connections it came over.
 */
import { DispatchEvent } from "../../protocol";

/** One event of an attempt's answer, in order; the last is an `end` or `refused` event, or tells why there is none. */
export type AttemptStreamEvent =
    | { kind: "event"; event: DispatchEvent; }
    | { kind: "stopped"; cause: AttemptStopCause; message: string; };

/** Why an attempt can't be followed to its last event. */
type AttemptStopCause =
    /** No byte of the attempt has left. */
    | "notConnected"
    /** The sidecar answers, but has not seen the attempt or has forgotten it. */
    | "unseen"
    /** The sidecar has restarted since. */
    | "gone"
    /** The sidecar no longer keeps the part of the answer that comes next. */
    | "cut"
    /** The sidecar does not answer. */
    | "lost"
    /** The caller has gone, or the deadline has passed. */
    | "aborted";
