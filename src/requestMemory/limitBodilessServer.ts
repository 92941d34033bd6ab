/*
 * Limits what clients cost an HTTP server that expects no bodies, such as those for readiness and metrics. Nothing of a body is
 * read before the response, and little after it.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { Clock, endAfterSending } from "../runtime";
import { hasBody } from "./hasBody";

/** The maximum number of connections; some monitors at most read metrics and readiness. */
const maximumConnections = 64;

/**
 * Limits a server.
 * @param server - The server, created with `bodilessServerOptions`.
 * @param clock - The clock by which the ends of connections are awaited.
 */
export function limitBodilessServer(server: Server, clock: Clock): void {
    const receivingSockets = new WeakSet<Socket>();
    server.maxConnections = maximumConnections;
    const addSocket = (socket: Socket) => {
        socket.destroySoon = () => endAfterSending(socket, clock, receivingSockets.has(socket));
    };
    server.on("connection", addSocket);
    server.on("secureConnection", addSocket);
    server.prependListener("request", (request, response) => {
        if (hasBody(request)) {
            receivingSockets.add(request.socket);
            response.shouldKeepAlive = false;
        }
    });
}
