/*
 * A stand-in for the platform's list of backend servers.
 */
import { createServer } from "node:http";

/**
 * Starts the list.
 * @param ip - The loopback address to listen on.
 * @param getEntries - Gets the entries.
 */
export async function startList(ip, getEntries) {
    const server = createServer((_, response) => {
        const text = JSON.stringify({ instances: getEntries(), next_token: null });
        response.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
        response.end(text);
    });
    await new Promise(resolve => server.listen(0, ip, resolve));
    return {
        address: `${ip}:${server.address().port}`,
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}
