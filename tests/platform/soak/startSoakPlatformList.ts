/*
 * A stand-in for the platform's list of backend servers, to which another writer adds entries in which fields are missing.
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
        const entries = getEntries();
        response.end(
            JSON.stringify({ instances: [...entries, ...entries.map(createOddEntry)], next_token: undefined }),
        );
    });
    await new Promise<void>(resolve => server.listen(0, ip, resolve));
    return Object.assign(server, { ip });
}

/** Creates another writer's entry for the address of a backend server, without its models and another field in turn. */
function createOddEntry(entry: object, index: number): object {
    const fields = Object.entries({ ...entry, id: `odd-${index}` }).filter(([name]) => name !== "models");
    return Object.fromEntries(fields.filter((...[, fieldIndex]) => fieldIndex !== index + 1));
}
