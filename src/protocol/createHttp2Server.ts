/*
 * The HTTP/2 server of the internal listener, without TLS or with mutual TLS.
 */
import {
    createSecureServer,
    createServer,
    type Http2SecureServer,
    type Http2ServerRequest,
    type Http2ServerResponse,
    type ServerOptions,
} from "node:http2";
import { createTlsServerOptions, TlsIdentity } from "../security";

const maximumConcurrentStreams = 4_096;
const maximumSessionMemoryMegabytes = 256;

/**
 * Creates a server that does not listen yet. With TLS, clients must present a certificate of a trusted authority.
 * @param identity - The server's TLS identity; the server uses no TLS if undefined.
 * @param handler - Handles requests.
 */
export function createHttp2Server(
    identity: TlsIdentity | undefined,
    handler: (request: Http2ServerRequest, response: Http2ServerResponse) => void,
): Http2SecureServer {
    const options: ServerOptions = {
        maxSessionMemory: maximumSessionMemoryMegabytes,
        settings: { maxConcurrentStreams: maximumConcurrentStreams },
    };
    if (identity === undefined) {
        return createServer(options, handler) as unknown as Http2SecureServer;
    }
    const tlsOptions = createTlsServerOptions(identity, "TLSv1.3");
    return createSecureServer({ ...options, ...tlsOptions, requestCert: true, rejectUnauthorized: true }, handler);
}
