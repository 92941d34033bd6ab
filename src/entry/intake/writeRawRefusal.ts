/*
 * Refuses input that is not valid HTTP, for which the HTTP server creates no response object.
 */
import { STATUS_CODES } from "node:http";
import { Duplex } from "node:stream";
import { getRefusalBody } from "../getRefusalBody";
import { getRefusalStatus } from "../getRefusalStatus";
import { getRunStateName } from "../getRunStateName";
import { Refusal } from "../Refusal";

/**
 * Writes a refusal as an HTTP response to a connection, and ends the connection.
 * @param socket - The connection.
 * @param refusal - The refusal.
 * @param requestId - The id that identifies the request in the logs.
 */
export function writeRawRefusal(socket: Duplex, refusal: Refusal, requestId: string): void {
    const status = getRefusalStatus(refusal.reason);
    const body = JSON.stringify(getRefusalBody(refusal, requestId));
    const lines = [
        `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}`,
        "content-type: application/json",
        `content-length: ${Buffer.byteLength(body)}`,
        `basilwing-run: ${getRunStateName(refusal.runState)}`,
        `x-request-id: ${requestId}`,
        "connection: close",
        "",
        body,
    ];
    socket.end(lines.join("\r\n"));
}
