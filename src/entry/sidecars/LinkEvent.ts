/*
 * The events of one call to a sidecar.
 */
import { DispatchEvent } from "../../protocol";

/** One event of a call. A call that gets no `end` or `refused` event ends with a `notConnected` or `lost` event. */
export type LinkEvent =
    /** The sidecar sent an event of the response. */
    | { kind: "event"; event: DispatchEvent; }
    /** No connection was established, so no byte of the call was sent. */
    | { kind: "notConnected"; message: string; }
    /** The connection was lost, or the sidecar sent no event in time. */
    | { kind: "lost"; message: string; };
