/*
 * Serves health checks, metrics and process status over HTTP, on a listener separate from the one for callers.
 */
import { once } from "node:events";
import { IncomingMessage, ServerResponse } from "node:http";
import { AddressInfo } from "node:net";
import { bodilessServerOptions, limitBodilessServer } from "../requestMemory";
import { createSystemClock } from "../runtime";
import { createHttpServer } from "../security";
import { AdministrationServer } from "./AdministrationServer";
import { AdministrationServerOptions } from "./AdministrationServerOptions";

/**
 * Starts the administration server, with the paths `/healthz`, `/readyz`, `/metrics` and `/status`.
 * @param options - The listener, its TLS identity and the sources of what it serves.
 * @returns The server, once it listens.
 * @throws The socket's error if the address can't be listened on.
 */
export async function startAdministrationServer(options: AdministrationServerOptions): Promise<AdministrationServer> {
    const { getStatus, isReady, listener, metrics } = options;
    const server = createHttpServer(
        options.identity,
        bodilessServerOptions,
        (request, response) => void handleRequest(request, response),
    );
    limitBodilessServer(server, options.clock ?? createSystemClock());
    server.listen(listener.port, listener.address);
    await once(server, "listening");
    const { address, port } = server.address() as AddressInfo;
    return { address: `${address}:${port}`, stop };

    async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        switch (request.url) {
            case "/healthz":
                sendResponse(response, 200, "text/plain", "ok\n");
                break;
            case "/readyz":
                sendResponse(response, isReady() ? 200 : 503, "text/plain", isReady() ? "ready\n" : "not ready\n");
                break;
            case "/metrics":
                sendResponse(response, 200, "text/plain; version=0.0.4", await metrics.getText());
                break;
            case "/status":
                sendResponse(response, 200, "application/json", `${JSON.stringify(getStatus())}\n`);
                break;
            default:
                sendResponse(response, 404, "text/plain", "not found\n");
        }
    }

    async function stop(): Promise<void> {
        const closed = once(server, "close");
        server.close();
        server.closeAllConnections();
        await closed;
    }
}

/** Sends a complete response. */
function sendResponse(response: ServerResponse, status: number, contentType: string, body: string): void {
    response.writeHead(status, { "content-type": contentType }).end(body);
}
