/*
 * Discards the rest of a body whose request has been refused, so that the next request on its connection can be read.
 */
import type { IncomingMessage } from "node:http";

/** How much of a body is discarded, in bytes. */
const maximumDiscardedBytes = 4_194_304;

/**
 * Creates what discards the chunks of a body.
 * @param request - The request, which is no longer read as more arrives.
 * @param endConnection - Ends its connection then.
 */
export function createBodyDiscard(request: IncomingMessage, endConnection: () => void): (byteCount: number) => void {
    let discardedBytes = 0;
    return byteCount => {
        discardedBytes += byteCount;
        if (discardedBytes > maximumDiscardedBytes) {
            request.pause();
            endConnection();
        }
    };
}
