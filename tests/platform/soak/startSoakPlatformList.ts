/*
 * A stand-in for the platform's list of backend servers.
 */
import { createServer, Server } from "node:http";

/**
 * Starts an HTTP server that responds to each request with the whole list on one page.
 * @param ip - The loopback address to listen on.
 * @param getEntries - Gets the current entries of the list.
 */
export async function startSoakPlatformList(
    ip: string,
    getEntries: () => readonly object[],
): Promise<Server & { ip: string; }> {
    const server = createServer((...[, response]) => {
        response.writeHead(200, { "content-type": "application/json" });
        response.end(JSON.stringify({ instances: getEntries(), next_token: undefined }));
    });
    await new Promise<void>(resolve => server.listen(0, ip, resolve));
    return Object.assign(server, { ip });
}
