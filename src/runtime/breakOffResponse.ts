/*
 * Breaks off responses so that their receivers detect it.
 */
import { ServerResponse } from "node:http";

/**
 * Breaks off a response. A chunked one lacks its last chunk. Any other, such as one to an HTTP/1.0 client, may end where its
 * connection closes, so that only a reset tells a truncated response from a complete one.
 * @param response - The response, which has not ended.
 */
export function breakOffResponse(response: ServerResponse): void {
    if (response.headersSent && !response.chunkedEncoding) {
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}
