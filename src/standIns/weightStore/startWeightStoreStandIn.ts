/*
 * Starts a stand-in for the rate-limited weight store: `GET /weights/{name}` responds after the time of a fetch, which
 * is longer when many fetches run concurrently.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { createSystemClock } from "../../runtime";
import { sendJson } from "../sendJson";
import { startStandInServer } from "../startStandInServer";
import { createSharedRate } from "./createSharedRate";
import { WeightStoreStandIn } from "./WeightStoreStandIn";
import { WeightStoreStandInOptions } from "./WeightStoreStandInOptions";

const defaultFetchMilliseconds = 800;
const defaultFullSpeedFetches = 2;
const pathPrefix = "/weights/";

/**
 * Starts a weight store stand-in, which serves HTTP.
 * @param options - The options that differ from the defaults.
 */
export async function startWeightStoreStandIn(options: WeightStoreStandInOptions = {}): Promise<WeightStoreStandIn> {
    const clock = options.clock ?? createSystemClock();
    const rate = createSharedRate(
        options.fullSpeedFetches ?? defaultFullSpeedFetches,
        options.fetchMilliseconds ?? defaultFetchMilliseconds,
        clock,
    );
    let maximumConcurrentFetches = 0;
    const server = await startStandInServer(options.port ?? 0, handle, options.address);
    return {
        address: server.address,
        stop: server.stop,
        getFetchCount: rate.getTransferCount,
        getMaximumConcurrentFetches: () => maximumConcurrentFetches,
    };

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.method !== "GET" || request.url?.startsWith(pathPrefix) !== true) {
            sendJson(response, 404, { error: "The path is unknown" });
            return;
        }
        const transferred = rate.transfer();
        maximumConcurrentFetches = Math.max(maximumConcurrentFetches, rate.getTransferCount());
        await transferred;
        sendJson(response, 200, { name: decodeURIComponent(request.url.slice(pathPrefix.length)) });
    }
}
