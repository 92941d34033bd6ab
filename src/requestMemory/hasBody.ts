/*
 * Tells whether a request has a body.
 */
import type { IncomingMessage } from "node:http";

/**
 * Returns whether a request has a body, which may be an empty one in chunks.
 * @param request - The request.
 */
export function hasBody({ headers }: IncomingMessage): boolean {
    const declaredText = headers["content-length"];
    return declaredText === undefined ? headers["transfer-encoding"] !== undefined : Number(declaredText) !== 0;
}
