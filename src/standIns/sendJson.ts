/*
 * Sends JSON responses.
 */
import { ServerResponse } from "node:http";

/**
 * Sends a JSON response.
 * @param response - The response to end.
 * @param status - The HTTP status.
 * @param value - The value to serialize as the body.
 */
export function sendJson(response: ServerResponse, status: number, value: unknown): void {
    const body = JSON.stringify(value);
    response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    response.end(body);
}
