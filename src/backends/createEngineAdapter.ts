/*
 * An engine adapter for the OpenAI-compatible HTTP API, based on the undici library.
 */
import { Dispatcher } from "undici";
import { getErrorMessage } from "../errors";
import { Order, OrderKind } from "../protocol";
import { createSystemClock, runWithTimeout } from "../runtime";
import { CacheEvent } from "./CacheEvent";
import { createBackendAgent } from "./createBackendAgent";
import { EngineAdapter } from "./EngineAdapter";
import { EngineAdapterOptions } from "./EngineAdapterOptions";
import { EngineLoad } from "./EngineLoad";
import { maximumCacheBytes } from "./maximumCacheBytes";
import { OrderOutcome } from "./OrderOutcome";
import { readBody } from "./readBody";
import { readJsonBody } from "./readJsonBody";
import { readLines } from "./readLines";
import { readUnusedBody } from "./readUnusedBody";
import { streamCompletion } from "./streamCompletion";

const connectTimeoutMilliseconds = 2_000;
const keepAliveMilliseconds = 4_000;
const orderTimeoutMilliseconds = 60_000;
const loadTimeoutMilliseconds = 2_000;
const cacheTransferTimeoutMilliseconds = 10_000;

/**
 * Creates an adapter for an engine.
 * @param options - The engine's address.
 */
export function createEngineAdapter(options: EngineAdapterOptions): EngineAdapter & { stop(): Promise<void>; } {
    const { address } = options;
    const clock = createSystemClock();
    const agent = createBackendAgent({
        connectTimeoutMilliseconds,
        keepAliveTimeout: keepAliveMilliseconds,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    return {
        complete: (request, signal) => streamCompletion(agent, address, request, signal),
        watchCacheEvents,
        getLoad,
        execute,
        exportCache,
        importCache,
        stop: () => agent.destroy(),
    };

    async function* watchCacheEvents(fromNumber: number, signal: AbortSignal): AsyncGenerator<CacheEvent> {
        try {
            const response = await send("GET", `/cache/events?from=${fromNumber}`, undefined, signal);
            for await (const line of readLines(response.body)) {
                if (line !== "") {
                    yield JSON.parse(line) as CacheEvent;
                }
            }
        }
        catch {
            // The stream ends with its connection; the caller reconnects.
        }
    }

    async function getLoad(signal?: AbortSignal): Promise<EngineLoad | undefined> {
        try {
            return await runWithTimeout(clock, loadTimeoutMilliseconds, signal, async limit => {
                const response = await send("GET", "/load", undefined, limit);
                return await readJsonBody(response.body) as EngineLoad;
            });
        }
        catch {
            return undefined;
        }
    }

    async function execute(order: Order, signal?: AbortSignal): Promise<OrderOutcome> {
        try {
            const body = JSON.stringify(getOrderBody(order));
            return await runWithTimeout(clock, orderTimeoutMilliseconds, signal, async limit => {
                const response = await send("POST", "/orders", body, limit);
                const result = await readJsonBody(response.body) as { reason?: string; };
                return response.statusCode === 200
                    ? { kind: "done" }
                    : { kind: "refused", reason: result.reason ?? `status ${response.statusCode}` };
            });
        }
        catch (error) {
            return { kind: "unknown", reason: getErrorMessage(error) };
        }
    }

    async function exportCache(hash: string, signal?: AbortSignal): Promise<Uint8Array | undefined> {
        try {
            return await runWithTimeout(clock, cacheTransferTimeoutMilliseconds, signal, async limit => {
                const response = await send("GET", `/cache/${hash}`, undefined, limit);
                const data = await readBody(response.body, maximumCacheBytes);
                return response.statusCode === 200 ? data : undefined;
            });
        }
        catch {
            return undefined;
        }
    }

    async function importCache(hashes: readonly string[], data: Uint8Array, signal?: AbortSignal): Promise<boolean> {
        const hash = hashes.at(-1);
        if (hash === undefined) {
            return false;
        }
        try {
            return await runWithTimeout(clock, cacheTransferTimeoutMilliseconds, signal, async limit => {
                const response = await send("PUT", `/cache/${hash}`, data, limit);
                await readUnusedBody(response.body);
                return response.statusCode === 200;
            });
        }
        catch {
            return false;
        }
    }

    function send(
        method: Dispatcher.HttpMethod,
        path: string,
        body: string | Uint8Array | undefined,
        signal: AbortSignal,
    ): Promise<Dispatcher.ResponseData> {
        return agent.request({ origin: address, method, path, body, signal });
    }
}

/** Gets an order in the engine's wire format. */
function getOrderBody(order: Order): Record<string, unknown> {
    return {
        kind: OrderKind[order.kind],
        term: String(order.number?.term ?? 0n),
        index: String(order.number?.index ?? 0n),
        model: order.model,
        version: order.version,
        adapter: order.adapter,
        role: order.role,
    };
}
