/*
 * Observes which connections of a server have no request in progress, so that what arrives on them is the next head.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";

/** What observes connections. */
interface ConnectionObserver {
    /** Called when a connection has been accepted, and when its last request in progress has ended. */
    onWaiting(socket: Socket): void;
    /** Called when a connection begins a request, or is closed. */
    onNotWaiting(socket: Socket): void;
}

/**
 * Observes the connections that a server accepts from now on.
 * @param server - The server.
 * @param observer - Told of the connections.
 */
export function observeWaitingConnections(server: Server, { onWaiting, onNotWaiting }: ConnectionObserver): void {
    /** The requests in progress on each connection. */
    const openCounts = new WeakMap<Socket, number>();
    server.on("connection", socket => {
        onWaiting(socket);
        socket.on("close", () => onNotWaiting(socket));
    });
    server.prependListener("request", (request, response) => {
        const { socket } = request;
        onNotWaiting(socket);
        openCounts.set(socket, (openCounts.get(socket) ?? 0) + 1);
        response.on("finish", () => {
            if (request.complete) {
                endRequest(socket);
            }
            else {
                // The rest of its body is no head.
                request.once("close", () => endRequest(socket));
            }
        });
    });

    function endRequest(socket: Socket): void {
        const openCount = (openCounts.get(socket) ?? 1) - 1;
        openCounts.set(socket, openCount);
        if (openCount === 0 && !socket.destroyed) {
            onWaiting(socket);
        }
    }
}
