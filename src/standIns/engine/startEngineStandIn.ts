/*
 * Starts a stand-in for a model engine.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { startStandInServer } from "../startStandInServer";
import { createEngineIncarnation } from "./createEngineIncarnation";
import { EngineFaults } from "./EngineFaults";
import { EngineIncarnation } from "./EngineIncarnation";
import { EngineRunRecord } from "./EngineRunRecord";
import { EngineStandIn } from "./EngineStandIn";
import { EngineStandInOptions } from "./EngineStandInOptions";
import { getEngineSettings } from "./getEngineSettings";

const incarnationSuffixLimit = 0x1_0000_0000;

/**
 * Starts an engine stand-in, which serves HTTP.
 * @param options - The options that differ from the defaults.
 */
export async function startEngineStandIn(options: EngineStandInOptions = {}): Promise<EngineStandIn> {
    const settings = getEngineSettings(options);
    const runLog: EngineRunRecord[] = [];
    const orders: string[] = [];
    const stopped = new AbortController();
    let faults: EngineFaults = settings.faults;
    let cacheEventLoss = settings.cacheEventLossShare;
    let currentIncarnation = startIncarnation();
    let restarting: Promise<void> | undefined;
    const server = await startStandInServer(settings.port, handle, settings.address);
    return {
        address: server.address,
        stop,
        crash,
        getRunLog: () => runLog,
        getCachedHashes: () => currentIncarnation.getCachedHashes(),
        getIncarnation: () => currentIncarnation.incarnation,
        getVersion: () => currentIncarnation.getVersion(),
        getOrders: () => orders,
        setFaults: newFaults => faults = newFaults,
        setCacheEventLoss: share => cacheEventLoss = share,
    };

    function startIncarnation(): EngineIncarnation {
        const suffix = settings.random.getInteger(incarnationSuffixLimit).toString(16).padStart(8, "0");
        return createEngineIncarnation({
            settings,
            incarnation: `${settings.name}-${suffix}`,
            runLog,
            getFaults: () => faults,
            getCacheEventLoss: () => cacheEventLoss,
            onPoison: () => void crash(),
            onVersionLoaded: version => orders.push(`version ${version}`),
            onOrderExecuted: order => orders.push(order),
        });
    }

    function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.method === "POST" && request.url === "/administration/crash") {
            response.on("finish", () => void crash());
            response.writeHead(202).end();
            return Promise.resolve();
        }
        return currentIncarnation.handle(request, response);
    }

    /** Resets all connections and restarts with an empty cache after the restart delay. */
    function crash(): Promise<void> {
        restarting ??= restart();
        return restarting;
    }

    async function restart(): Promise<void> {
        currentIncarnation.end();
        for (const record of runLog) {
            if (record.outcome === "running") {
                record.outcome = "crashed";
            }
        }
        await server.crash();
        await settings.clock.sleep(settings.restartMilliseconds, stopped.signal);
        if (!stopped.signal.aborted) {
            currentIncarnation = startIncarnation();
            await server.restart();
        }
        restarting = undefined;
    }

    async function stop(): Promise<void> {
        stopped.abort();
        await restarting;
        currentIncarnation.end();
        await server.stop();
    }
}
