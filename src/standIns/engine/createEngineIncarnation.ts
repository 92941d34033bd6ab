/*
 * One incarnation of an engine: a cache that starts empty, a core and the HTTP routes.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { sendJson } from "../sendJson";
import { createCacheEventFeed } from "./createCacheEventFeed";
import { createCacheTransfer } from "./createCacheTransfer";
import { createCompletionHandler } from "./createCompletionHandler";
import { createEngineCore } from "./createEngineCore";
import { createOrderHandler } from "./createOrderHandler";
import { createPrefixCache } from "./createPrefixCache";
import { EngineIncarnation } from "./EngineIncarnation";
import { EngineIncarnationOptions } from "./EngineIncarnationOptions";

/**
 * Starts one incarnation of an engine.
 * @param options - The settings, the run log and the callbacks.
 */
export function createEngineIncarnation(options: EngineIncarnationOptions): EngineIncarnation {
    const { settings, incarnation } = options;
    const { clock, random, observer, name } = settings;
    const adapters = new Set<string>();
    const ended = new AbortController();
    let version = settings.version;
    let role = "both";
    let loadsInProgress = 0;
    let loadReport: { time: number; load: Record<string, unknown>; } | undefined;
    const cacheEventFeed = createCacheEventFeed(
        incarnation,
        settings.cacheEventLagMilliseconds,
        options.getCacheEventLoss,
        clock,
        random,
    );
    const cache = createPrefixCache(settings.cacheBlocks, hash => {
        observer?.recordRemoved(name, hash);
        cacheEventFeed.publish("removed", [hash]);
    });
    const core = createEngineCore({
        clock,
        cache,
        speeds: settings,
        blockTokens: settings.blockTokens,
        maximumBatchSize: settings.maximumBatchSize,
        onComputed: (requestId, hashes, tokens) => observer?.recordComputed(name, requestId, hashes, tokens),
        onPrefilled: requestId => observer?.recordPrefilled(name, requestId),
        onStored: store,
        onPoisonPrefilled: options.onPoison,
    });
    const handleCompletion = createCompletionHandler({
        settings,
        incarnation,
        core,
        runLog: options.runLog,
        clock,
        random,
        getFaults: options.getFaults,
        getVersion: () => version,
        isLoading: () => loadsInProgress > 0,
    });
    const handleOrder = createOrderHandler({
        isFencing: settings.isFencing,
        loadVersion,
        loadAdapter,
        changeRole,
    });
    const transfer = createCacheTransfer({ cache, clock, store, settings });
    return { incarnation, handle, getCachedHashes: cache.getHashes, getVersion: () => version, end };

    function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://engine");
        switch (`${request.method} ${url.pathname}`) {
            case "POST /v1/chat/completions":
                return handleCompletion(request, response, true);
            case "POST /v1/completions":
                return handleCompletion(request, response, false);
            case "POST /orders":
                return handleOrder(request, response);
            case "GET /cache/events":
                cacheEventFeed.addWatcher(response, Number(url.searchParams.get("from") ?? 1));
                return Promise.resolve();
            case "GET /load":
                return respond(response, getLaggingLoad());
            case "GET /health":
                return respond(response, { incarnation, version, role });
            case "GET /v1/models":
                return respond(response, { object: "list", data: [{ id: settings.model, object: "model", version }] });
            default:
                return transfer.handle(request, response, url);
        }
    }

    function store(hash: string, parent: string): void {
        if (cache.add(hash, parent)) {
            observer?.recordStored(name, hash);
            cacheEventFeed.publish("stored", [hash]);
        }
    }

    /** Gets the load with a lag. The call that renews an outdated report still returns the former one. */
    function getLaggingLoad(): Record<string, unknown> {
        const now = clock.getMonotonicMilliseconds();
        if (loadReport === undefined || now - loadReport.time >= settings.loadLagMilliseconds) {
            const load = { incarnation, version, adapters: [...adapters], role, ...core.getLoad() };
            const lagging = loadReport?.load ?? load;
            loadReport = { time: now, load };
            return lagging;
        }
        return loadReport.load;
    }

    async function loadVersion(requestedVersion: string): Promise<boolean> {
        loadsInProgress += 1;
        try {
            const isFetched = await fetchWeights(`${settings.model}/${requestedVersion}`);
            if (isFetched && !ended.signal.aborted) {
                setVersion(requestedVersion);
            }
            return isFetched;
        }
        finally {
            loadsInProgress -= 1;
        }
    }

    /** Changes the served version and clears the cache, since its blocks were computed with other weights. */
    function setVersion(newVersion: string): void {
        version = newVersion;
        options.onVersionLoaded(newVersion);
        cache.clear();
        observer?.recordCleared(name);
        cacheEventFeed.publish("cleared", []);
    }

    async function loadAdapter(adapter: string): Promise<boolean> {
        const isFetched = await fetchWeights(`${settings.model}/adapters/${adapter}`);
        if (isFetched) {
            adapters.add(adapter);
            options.onOrderExecuted(`adapter ${adapter}`);
        }
        return isFetched;
    }

    function changeRole(newRole: string): void {
        role = newRole;
        options.onOrderExecuted(`role ${newRole}`);
    }

    async function fetchWeights(path: string): Promise<boolean> {
        if (settings.weightSource !== undefined) {
            return settings.weightSource.fetch(path, ended.signal);
        }
        await clock.sleep(settings.loadMilliseconds, ended.signal);
        return !ended.signal.aborted;
    }

    function end(): void {
        ended.abort();
        core.end();
        observer?.recordCleared(name);
    }
}

function respond(response: ServerResponse, value: unknown): Promise<void> {
    sendJson(response, 200, value);
    return Promise.resolve();
}
