/*
 * Takes callers' requests from their first byte to their last.
 */
import { IncomingMessage, ServerResponse } from "node:http";

/** Serves requests. */
export interface RequestHandler {
    /** Serves one request; resolves once it is answered. */
    handle(request: IncomingMessage, response: ServerResponse, requestId: string): Promise<void>;
    /** Tells whether the entry has been able to serve since its start. */
    hasBeenReady(): boolean;
    /** Waits until the entry can serve, but not for long. */
    waitUntilReady(): Promise<unknown>;
    /** Gets how many requests have been answered and have not yet recorded their outcome. */
    getTasksInFlight(): number;
}
