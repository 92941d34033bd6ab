/*
 * What comes over one connection to a companion.
 */
import { DispatchEvent } from "../../protocol";

/** One event of a call to a companion; a call without an `end` or `refused` event ends with one of the others. */
export type LinkEvent =
    | { kind: "event"; event: DispatchEvent; }
    /** No connection came about: no byte of the call has left. */
    | { kind: "notConnected"; message: string; }
    /** The connection broke, or the companion gave no sign in time. */
    | { kind: "lost"; message: string; };
