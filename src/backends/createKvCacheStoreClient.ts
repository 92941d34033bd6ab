/*
 * An HTTP client of the KV cache store. The digest of each entry covers its key as well, so that data stored for
 * another workspace, model, version or prefix is never used.
 */
import { createHash } from "node:crypto";
import { Dispatcher } from "undici";
import { PrefixScope } from "../routing";
import { createSystemClock, runWithTimeout } from "../runtime";
import { createBackendAgent } from "./createBackendAgent";
import { KvCacheStore } from "./KvCacheStore";
import { KvCacheStoreClientOptions } from "./KvCacheStoreClientOptions";
import { maximumCacheBytes } from "./maximumCacheBytes";
import { readBody } from "./readBody";
import { readUnusedBody } from "./readUnusedBody";

const requestTimeoutMilliseconds = 5_000;
const concurrentLookups = 8;
const digestHeader = "x-content-digest";

/**
 * Creates a client of a KV cache store.
 * @param options - The store's address and the failure callback.
 */
export function createKvCacheStoreClient(
    options: KvCacheStoreClientOptions,
): KvCacheStore & { stop(): Promise<void>; } {
    const agent = createBackendAgent({ connectTimeoutMilliseconds: requestTimeoutMilliseconds });
    const clock = createSystemClock();
    return { countStoredBlocks, read, write, stop: () => agent.destroy() };

    async function countStoredBlocks(
        scope: PrefixScope,
        hashes: readonly string[],
        signal?: AbortSignal,
    ): Promise<number> {
        try {
            for (let end = hashes.length; end > 0; end -= concurrentLookups) {
                const start = Math.max(0, end - concurrentLookups);
                const results = await Promise.all(hashes.slice(start, end).map(hash => isStored(scope, hash, signal)));
                const last = results.lastIndexOf(true);
                if (last >= 0) {
                    return start + last + 1;
                }
            }
        }
        catch {
            reportFailure(signal);
        }
        return 0;
    }

    function isStored(scope: PrefixScope, hash: string, signal?: AbortSignal): Promise<boolean> {
        return send("HEAD", scope, hash, undefined, signal, async response => {
            await response.body.dump();
            return response.statusCode === 200;
        });
    }

    async function read(scope: PrefixScope, hash: string, signal?: AbortSignal): Promise<Uint8Array | undefined> {
        try {
            return await send("GET", scope, hash, undefined, signal, async response => {
                const data = await readBody(response.body, maximumCacheBytes);
                const isIntact = response.statusCode === 200
                    && response.headers[digestHeader] === getDigest(scope, hash, data);
                if (!isIntact && response.statusCode !== 404) {
                    reportFailure(signal);
                }
                return isIntact ? data : undefined;
            });
        }
        catch {
            reportFailure(signal);
            return undefined;
        }
    }

    async function write(scope: PrefixScope, hash: string, data: Uint8Array, signal?: AbortSignal): Promise<boolean> {
        try {
            return await send("PUT", scope, hash, data, signal, async response => {
                await readUnusedBody(response.body);
                if (response.statusCode !== 200) {
                    reportFailure(signal);
                }
                return response.statusCode === 200;
            });
        }
        catch {
            reportFailure(signal);
            return false;
        }
    }

    function reportFailure(signal: AbortSignal | undefined): void {
        if (signal?.aborted !== true) {
            options.onFailure?.();
        }
    }

    /** Sends a request; its timeout includes the time until the response has been read. */
    function send<T>(
        method: Dispatcher.HttpMethod,
        scope: PrefixScope,
        hash: string,
        data: Uint8Array | undefined,
        signal: AbortSignal | undefined,
        readResponse: (response: Dispatcher.ResponseData) => Promise<T>,
    ): Promise<T> {
        return runWithTimeout(clock, requestTimeoutMilliseconds, signal, async limit =>
            readResponse(
                await agent.request({
                    origin: options.address,
                    method,
                    path: getPath(scope, hash),
                    headers: data === undefined ? {} : { [digestHeader]: getDigest(scope, hash, data) },
                    body: data,
                    signal: limit,
                }),
            ));
    }
}

function getPath(scope: PrefixScope, hash: string): string {
    const names = [scope.workspace, scope.model, scope.version, hash];
    return `/entries/${names.map(encodeURIComponent).join("/")}`;
}

function getDigest(scope: PrefixScope, hash: string, data: Uint8Array): string {
    return createHash("sha256").update(getPath(scope, hash)).update("\n").update(data).digest("hex");
}
