/*
 * Measures the head of a request.
 */
import type { IncomingMessage } from "node:http";

/**
 * Gets the bytes of the target and of the names and values of all headers, as the parser of Node.js counts them for its limit.
 * @param request - The request.
 */
export function getHeadBytes({ rawHeaders, url = "" }: IncomingMessage): number {
    return rawHeaders.reduce((sum, text) => sum + text.length, url.length);
}
