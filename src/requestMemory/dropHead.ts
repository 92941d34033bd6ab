/*
 * Frees the memory of the head of a refused request, which Node.js would keep until the connection is closed.
 */
import type { IncomingMessage } from "node:http";

/**
 * Drops the target and all headers of a request.
 * @param request - The request, which has been refused.
 */
export function dropHead(request: IncomingMessage): void {
    request.url = "";
    request.rawHeaders = [];
    request.headers = {};
}
