/*
 * A TCP server for tests that control each byte of its HTTP responses.
 */
import { once } from "node:events";
import { AddressInfo, createServer, Socket } from "node:net";

/** A backend server whose responses a test writes byte by byte. */
export interface RawServer {
    /** The address that it listens on, as `ip:port`. */
    readonly address: string;
    /** The requests received so far, each with its head and body. */
    readonly requests: string[];
    /** Gets the number of connections that were opened. */
    getConnectionCount(): number;
    /** Closes all connections and stops listening. */
    stop(): Promise<void>;
}

/**
 * Starts a server on loopback, on a port that the operating system chooses.
 * @param respond - Called for each request that has arrived in full, to write to its connection.
 */
export async function startRawServer(respond: (socket: Socket, request: string) => void): Promise<RawServer> {
    const sockets = new Set<Socket>();
    const requests: string[] = [];
    let connectionCount = 0;
    const server = createServer(socket => {
        let received = "";
        connectionCount += 1;
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", data => {
            received += data.toString("latin1");
            for (let end = getRequestEnd(received); end !== undefined; end = getRequestEnd(received)) {
                const request = received.slice(0, end);
                received = received.slice(end);
                requests.push(request);
                respond(socket, request);
            }
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    return { address: `127.0.0.1:${port}`, requests, getConnectionCount: () => connectionCount, stop };

    async function stop(): Promise<void> {
        sockets.forEach(socket => socket.destroy());
        server.close();
        await once(server, "close");
    }
}

/** Gets the offset of the end of the first request; undefined where it is incomplete. */
function getRequestEnd(received: string): number | undefined {
    const headEnd = received.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const length = Number(/^content-length: *(\d+)/im.exec(received.slice(0, headEnd))?.[1] ?? 0);
    const end = headEnd + 4 + length;
    return received.length >= end ? end : undefined;
}
