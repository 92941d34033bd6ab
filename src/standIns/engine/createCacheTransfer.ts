/*
 * Exports and imports the KV cache of a prefix. The exported data lists the hashes of the blocks that it covers, and an
 * import of data for another prefix is refused.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { readBody } from "../readBody";
import { sendJson } from "../sendJson";
import { CacheTransfer } from "./CacheTransfer";
import { CacheTransferOptions } from "./CacheTransferOptions";

const pathPattern = /^\/cache\/([0-9a-f]{32})$/;

/**
 * Creates the export and import of one incarnation's KV cache.
 * @param options - The cache, the clock and the duration of imports.
 */
export function createCacheTransfer(options: CacheTransferOptions): CacheTransfer {
    const { cache, clock, settings } = options;
    return { handle };

    async function handle(request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> {
        const hash = pathPattern.exec(url.pathname)?.[1];
        if (hash === undefined) {
            response.writeHead(404).end();
        }
        else if (request.method === "GET") {
            exportChain(response, hash);
        }
        else if (request.method === "PUT") {
            await importChain(request, response, hash);
        }
        else {
            response.writeHead(405).end();
        }
    }

    function exportChain(response: ServerResponse, hash: string): void {
        const chain = cache.getChain(hash);
        if (chain.length === 0) {
            response.writeHead(404).end();
            return;
        }
        response.writeHead(200, { "content-type": "application/octet-stream" });
        response.end(chain.join("\n"));
    }

    async function importChain(request: IncomingMessage, response: ServerResponse, hash: string): Promise<void> {
        const chain = (await readBody(request)).toString("utf8").split("\n");
        if (chain.at(-1) !== hash) {
            sendJson(response, 422, { reason: "The data is of another prefix" });
            return;
        }
        const missing = chain.length - cache.countCached(chain);
        await clock.sleep(missing * settings.importMillisecondsPerBlock);
        chain.forEach((block, index) => options.store(block, chain[index - 1] ?? ""));
        cache.touch(chain);
        sendJson(response, 200, { pieces: missing });
    }
}
