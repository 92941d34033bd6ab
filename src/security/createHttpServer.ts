/*
 * The HTTP server under the listeners for callers, operators and administration, plain or with TLS.
 */
import { createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from "node:http";
import { createServer as createSecureServer } from "node:https";
import { createTlsServerOptions } from "./createTlsServerOptions";
import { reloadCertificatesOnChange } from "./reloadCertificatesOnChange";
import { TlsIdentity } from "./TlsIdentity";

/**
 * Creates a server that does not listen yet. With TLS, it follows its identity's files until it is closed.
 * @param identity - The identity that the server shows; plain where undefined.
 * @param options - The server's limits.
 * @param handle - Answers requests.
 */
export function createHttpServer(
    identity: TlsIdentity | undefined,
    options: ServerOptions,
    handle: (request: IncomingMessage, response: ServerResponse) => void,
): Server {
    if (identity === undefined) {
        return createServer(options, handle);
    }
    const server = createSecureServer({ ...options, ...createTlsServerOptions(identity) }, handle);
    server.once("close", reloadCertificatesOnChange(server, identity));
    return server;
}
