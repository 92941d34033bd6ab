/*
 * The connection to one other process, with the session manager that sends calls over it.
 */
import type { Http2SessionManager } from "@connectrpc/connect-node";
import { Stoppable } from "../runtime";

/** A connection that is opened on first use; stopping it aborts the calls in flight. */
export interface PeerConnection extends Stoppable {
    /** The session manager that opens the HTTP/2 streams of calls. */
    readonly manager: Pick<Http2SessionManager, "authority" | "request" | "notifyResponseByteRead">;
    /** Tells whether the connection is open or being opened, so that calls may be in flight on it. */
    isInUse(): boolean;
    /**
     * Checks the connection, on which a call waits for its response. If nothing arrives on it, not even the response to a
     * ping, another one is opened beside it, and the first on which something arrives serves later calls.
     * @returns Whether the connection was replaced; calls in flight on the former one may never end.
     */
    check(): Promise<boolean>;
}
