/*
 * The HTTP server of the listeners for callers and administration, without or with TLS.
 */
import { createServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from "node:http";
import { createServer as createSecureServer } from "node:https";
import { createTlsServerOptions } from "./createTlsServerOptions";
import { reloadCertificatesOnChange } from "./reloadCertificatesOnChange";
import { TlsIdentity } from "./TlsIdentity";

/**
 * Creates a server that does not listen yet. With TLS, it uses the identity's new certificates after each reload, until
 * it is closed.
 * @param identity - The server's TLS identity; the server uses plain HTTP if undefined.
 * @param options - The options of Node's HTTP server, such as timeouts and limits.
 * @param handle - Handles requests.
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
