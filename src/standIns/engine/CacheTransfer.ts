/*
 * The HTTP endpoints for the export and import of KV cache.
 */
import { IncomingMessage, ServerResponse } from "node:http";

/** Exports and imports KV cache. */
export interface CacheTransfer {
    /** Handles requests to `/cache/{hash}`; responds to any other with status 404. */
    handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void>;
}
