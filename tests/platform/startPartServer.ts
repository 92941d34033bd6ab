/*
 * Servers for tests that answer a request as soon as its head has arrived, or once all of it has.
 */
import { once } from "node:events";
import { AddressInfo, createServer, Socket } from "node:net";

/** A server that tests may let answer uploads that are still being sent. */
interface PartServer {
    /** The address that it listens on, as `ip:port`. */
    readonly address: string;
    /** The connections that are open. */
    readonly sockets: ReadonlySet<Socket>;
    /** Closes all connections and stops listening. */
    stop(): Promise<void>;
}

/**
 * Starts a server on loopback that answers one request on each connection.
 * @param respondEarly - Called with each head, with the connection paused; returns whether it has answered.
 * @param respond - Called once the rest of a request has arrived that has no answer yet.
 */
export async function startPartServer(
    respondEarly: (socket: Socket, head: string) => boolean,
    respond: (socket: Socket, head: string) => void,
): Promise<PartServer> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        const parts: Buffer[] = [];
        let head: string | undefined;
        let missingBytes = 0;
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", data => {
            if (head !== undefined) {
                missingBytes -= data.length;
            }
            else {
                parts.push(data);
                const text = Buffer.concat(parts).toString("latin1");
                const headEnd = text.indexOf("\r\n\r\n");
                if (headEnd < 0) {
                    return;
                }
                head = text.slice(0, headEnd);
                const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
                missingBytes = headEnd + 4 + length - text.length;
                socket.pause();
                if (respondEarly(socket, head)) {
                    return;
                }
                socket.resume();
            }
            if (missingBytes === 0) {
                missingBytes = -1;
                respond(socket, head);
            }
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    return { address: `127.0.0.1:${port}`, sockets, stop };

    async function stop(): Promise<void> {
        sockets.forEach(socket => socket.destroy());
        server.close();
        await once(server, "close");
    }
}
