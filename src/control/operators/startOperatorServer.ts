/*
 * The HTTP server for operators, with endpoints for the configuration tree, claims, the quarantine, rollouts and the
 * status of the system.
 */
import { once } from "node:events";
import { createServer, Server } from "node:http";
import { createServer as createSecureServer } from "node:https";
import { AddressInfo, isIPv6 } from "node:net";
import { createTlsServerOptions, reloadCertificatesOnChange } from "../../security";
import { createClaimRoutes } from "./createClaimRoutes";
import { createConfigurationRoutes } from "./createConfigurationRoutes";
import { createOperatorAuthentication } from "./createOperatorAuthentication";
import { createOperatorHandler } from "./createOperatorHandler";
import { createRolloutRoutes } from "./createRolloutRoutes";
import { createStatusRoutes } from "./createStatusRoutes";
import { OperatorServer } from "./OperatorServer";
import { OperatorServerOptions } from "./OperatorServerOptions";

const maximumConnections = 256;
const serverOptions = {
    maxHeaderSize: 16_384,
    headersTimeout: 10_000,
    requestTimeout: 60_000,
    keepAliveTimeout: 15_000,
};

/**
 * Starts the HTTP server for operators.
 * @param options - The listener, the operators, and the client and operations that the endpoints use.
 * @returns The server, once it listens.
 * @throws The socket's error if the address can't be listened on.
 */
export async function startOperatorServer(options: OperatorServerOptions): Promise<OperatorServer> {
    const { listener, identity, operators, client, operations, clock, logger } = options;
    const stopping = new AbortController();
    const requestsInFlight = new Set<Promise<void>>();
    const handleRequest = createOperatorHandler({
        routes: [
            ...createConfigurationRoutes(client, operations),
            ...createClaimRoutes(client),
            ...createRolloutRoutes(client),
            ...createStatusRoutes(client),
        ],
        authentication: createOperatorAuthentication(operators, clock),
        clock,
        logger,
        stopSignal: stopping.signal,
    });
    const server = createHttpServer();
    server.maxConnections = maximumConnections;
    server.on("request", (request, response) => {
        const task = handleRequest(request, response).finally(() => requestsInFlight.delete(task));
        requestsInFlight.add(task);
    });
    server.listen(listener.port, listener.address);
    await once(server, "listening");
    return { address: getAddress(), stop };

    function createHttpServer(): Server {
        if (identity === undefined) {
            return createServer(serverOptions);
        }
        const secureServer = createSecureServer({ ...serverOptions, ...createTlsServerOptions(identity) });
        secureServer.once("close", reloadCertificatesOnChange(secureServer, identity));
        return secureServer;
    }

    function getAddress(): string {
        const { address, port } = server.address() as AddressInfo;
        const host = isIPv6(address) ? `[${address}]` : address;
        return `${identity === undefined ? "http" : "https"}://${host}:${port}`;
    }

    /** Stops accepting connections, aborts requests that are waiting and lets the others finish. */
    async function stop(): Promise<void> {
        const closed = once(server, "close");
        server.close();
        stopping.abort();
        await Promise.all(requestsInFlight);
        server.closeAllConnections();
        await closed;
    }
}
