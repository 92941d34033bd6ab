/*
 * What comes over one connection to a sidecar.
 */
import { DispatchEvent } from "../../protocol";

/** One event of a call to a sidecar; a call without an `end` or `refused` event ends with one of the others. */
export type LinkEvent =
    | { kind: "event"; event: DispatchEvent; }
    /** No connection came about: no byte of the call has left. */
    | { kind: "notConnected"; message: string; }
    /** The connection broke, or the sidecar gave no sign in time. */
    | { kind: "lost"; message: string; };
