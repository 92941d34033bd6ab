/*
 * Handles callers' HTTP requests.
 */
import { IncomingMessage, ServerResponse } from "node:http";

/** Handles HTTP requests, and reports whether they can be served. */
export interface RequestHandler {
    /**
     * Handles one request; resolves when its response has been written.
     * @param request - The HTTP request, of which the head has been received.
     * @param response - The HTTP response to write.
     * @param requestId - The id that identifies the request in all processes and logs.
     */
    handle(request: IncomingMessage, response: ServerResponse, requestId: string): Promise<void>;
    /** Returns whether the entry has been able to serve requests at any time since it started. */
    hasBeenReady(): boolean;
    /** Waits until the entry can serve requests, or the startup wait has ended. */
    waitUntilReady(): Promise<unknown>;
    /** Gets the number of requests whose outcome is yet to be recorded, also after their callers have disconnected. */
    getTasksInFlight(): number;
}
