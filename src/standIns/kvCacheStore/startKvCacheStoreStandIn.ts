/*
 * Starts a stand-in for the KV cache store, which handles `PUT`, `GET` and `HEAD` of `/entries/...`.
 */
import { LRUCache } from "lru-cache";
import { IncomingMessage, ServerResponse } from "node:http";
import { createSystemClock } from "../../runtime";
import { readBody } from "../readBody";
import { sendJson } from "../sendJson";
import { startStandInServer } from "../startStandInServer";
import { KvCacheStoreStandIn } from "./KvCacheStoreStandIn";
import { KvCacheStoreStandInOptions } from "./KvCacheStoreStandInOptions";

const defaultCapacity = 4_096;
const defaultAccessMilliseconds = 5;
const pathPrefix = "/entries/";
const digestHeader = "x-content-digest";

interface Entry {
    data: Buffer;
    digest: string;
}

/**
 * Starts a KV cache store stand-in, which serves HTTP.
 * @param options - The options that differ from the defaults.
 */
export async function startKvCacheStoreStandIn(options: KvCacheStoreStandInOptions = {}): Promise<KvCacheStoreStandIn> {
    const clock = options.clock ?? createSystemClock();
    const entries = new LRUCache<string, Entry>({ max: options.capacity ?? defaultCapacity });
    const server = await startStandInServer(options.port ?? 0, handle, options.address);
    return { address: server.address, stop: server.stop, getSize: () => entries.size, corrupt };

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = request.url ?? "";
        if (!path.startsWith(pathPrefix)) {
            sendJson(response, 404, { error: "The path is unknown" });
            return;
        }
        const data = await readBody(request);
        await clock.sleep(options.accessMilliseconds ?? defaultAccessMilliseconds);
        if (request.method === "PUT") {
            entries.set(path, { data, digest: String(request.headers[digestHeader] ?? "") });
            sendJson(response, 200, {});
            return;
        }
        sendEntry(request, response, entries.get(path));
    }

    function corrupt(): void {
        for (const entry of entries.values()) {
            entry.data[0] = (entry.data[0] ?? 0) ^ 1;
        }
    }
}

function sendEntry(request: IncomingMessage, response: ServerResponse, entry: Entry | undefined): void {
    if (entry === undefined) {
        response.writeHead(404).end();
        return;
    }
    response.writeHead(200, { [digestHeader]: entry.digest, "content-length": entry.data.length });
    response.end(request.method === "HEAD" ? undefined : entry.data);
}
