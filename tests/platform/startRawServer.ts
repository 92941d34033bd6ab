import { once } from "node:events";
import { AddressInfo, createServer, Socket } from "node:net";

/** A backend server of which each byte is scripted. */
export interface RawServer {
    /** Where it listens, as `ip:port`. */
    readonly address: string;
    /** The heads of the requests that came, with their bodies. */
    readonly requests: string[];
    /** How many connections were opened. */
    getConnectionCount(): number;
    stop(): Promise<void>;
}

/**
 * Starts a server on loopback.
 * @param respond - Writes to the connection on which a request has come in full.
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

/** Gets where the first request ends; undefined where it is not whole. */
function getRequestEnd(received: string): number | undefined {
    const headEnd = received.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const length = Number(/^content-length: *(\d+)/im.exec(received.slice(0, headEnd))?.[1] ?? 0);
    const end = headEnd + 4 + length;
    return received.length >= end ? end : undefined;
}
