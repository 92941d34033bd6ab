/*
 * The options of HTTP servers that expect no bodies.
 */
import type { ServerOptions } from "node:http";

/** The limits on the time for a request, which is a head that fits into one packet. */
export const bodilessServerOptions: ServerOptions = {
    headersTimeout: 5_000,
    requestTimeout: 10_000,
    connectionsCheckingInterval: 1_000,
    maxHeaderSize: 16_384,
};
