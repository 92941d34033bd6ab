/*
 * Starts the HTTP server of a stand-in.
 */
import { once } from "node:events";
import { createServer, IncomingMessage, ServerResponse } from "node:http";
import { AddressInfo, Socket } from "node:net";
import { StandInServer } from "./StandInServer";

const defaultAddress = "127.0.0.1";

/**
 * Starts a server.
 * @param port - The port; 0 lets the system choose one.
 * @param handle - Responds to a request. If it rejects, the response has status 500, or is cut off after its head.
 * @param address - The IP address to listen on.
 */
export async function startStandInServer(
    port: number,
    handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>,
    address = defaultAddress,
): Promise<StandInServer> {
    const sockets = new Set<Socket>();
    const server = createServer((request, response) => {
        response.on("error", () => response.destroy());
        handle(request, response).catch(() => {
            if (response.headersSent) {
                response.destroy();
                return;
            }
            response.writeHead(500).end();
        });
    });
    server.keepAliveTimeout = 10_000;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => socket.destroy());
    });
    await listen(port);
    const assignedPort = (server.address() as AddressInfo).port;
    return { address: `http://${address}:${assignedPort}`, crash, restart: () => listen(assignedPort), stop };

    async function listen(listenPort: number): Promise<void> {
        server.listen(listenPort, address);
        await once(server, "listening");
    }

    async function crash(): Promise<void> {
        const closed = server.listening ? once(server, "close") : Promise.resolve();
        server.close();
        for (const socket of sockets) {
            socket.resetAndDestroy();
        }
        await closed;
    }

    async function stop(): Promise<void> {
        if (!server.listening) {
            return;
        }
        const closed = once(server, "close");
        server.close();
        for (const socket of sockets) {
            socket.destroy();
        }
        await closed;
    }
}
