/*
 * The turns of the connections of one server.
 */
import type { IncomingMessage } from "node:http";

/** What the reader of a body tells of it. */
export interface ConnectionTurns {
    /**
     * Observes the body of a request until the next request on the connection.
     * @param request - The request.
     * @param refuse - Refuses it where turns come too late.
     * @returns Records that a chunk has arrived.
     */
    observeBody(request: IncomingMessage, refuse: () => void): (byteCount: number) => void;
}
