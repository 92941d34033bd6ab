/*
 * A TCP proxy whose open connections can fall silent for good while new ones pass, and that can accept connections without
 * ever answering.
 */
import { AddressInfo, createConnection, createServer, Socket } from "node:net";

/** A proxy in front of one listener. */
export interface SilencingProxy {
    /** The address that clients connect to, as `ip:port`. */
    readonly address: string;
    /** Drops all later bytes of the connections that are open now; they stay open. */
    silence(): void;
    /** Accepts the next connections without passing anything on. */
    ignoreConnections(count: number): void;
    /** Holds the bytes to clients back for a while, on connections that are open. */
    delay(milliseconds: number): void;
    /** Gets the number of connections that have been accepted. */
    getAcceptedCount(): number;
    /** Gets the number of connections that are open. */
    getOpenCount(): number;
    /** Closes all connections and stops listening. */
    stop(): void;
}

/**
 * Starts a proxy on a port that the operating system chooses.
 * @param getTarget - Gets the address of the listener behind the proxy, as `ip:port`.
 */
export async function startSilencingProxy(getTarget: () => string): Promise<SilencingProxy> {
    const sockets = new Map<Socket, { isSilent: boolean; }>();
    let ignoredCount = 0;
    let acceptedCount = 0;
    let delayEnd = 0;
    const server = createServer(client => {
        acceptedCount += 1;
        const link = { isSilent: ignoredCount > 0 };
        ignoredCount = Math.max(0, ignoredCount - 1);
        const [host, port] = getTarget().split(":") as [string, string];
        const upstream = createConnection({ host, port: Number(port), noDelay: true });
        client.setNoDelay(true);
        sockets.set(client, link);
        client.on("data", bytes => link.isSilent || upstream.write(bytes));
        upstream.on("data", bytes => {
            const send = () => link.isSilent || client.destroyed || client.write(bytes);
            const remaining = delayEnd - performance.now();
            remaining > 0 ? setTimeout(send, remaining) : send();
        });
        client.on("error", () => undefined).on("close", () => sockets.delete(client) && upstream.destroy());
        upstream.on("error", () => undefined).on("close", () => link.isSilent || client.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        silence: () => sockets.forEach(link => link.isSilent = true),
        ignoreConnections: count => ignoredCount = count,
        delay: milliseconds => delayEnd = performance.now() + milliseconds,
        getAcceptedCount: () => acceptedCount,
        getOpenCount: () => sockets.size,
        stop: () => {
            [...sockets.keys()].forEach(socket => socket.destroy());
            server.close();
        },
    };
}
