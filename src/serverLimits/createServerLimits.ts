/*
 * Keeps the newest limit that each backend server has named.
 */
import { LRUCache } from "lru-cache";
import { assertNever } from "../errors";
import { Logger } from "../logging";
import { RequestLimit } from "./RequestLimit";
import { ServerLimits } from "./ServerLimits";

/** The maximum number of backend servers with a limit; beyond it, the one named least recently is dropped. */
const maximumServers = 4_096;

interface ServerLimitsOptions {
    /** Logs limits when they change. */
    logger: Logger;
}

/**
 * Creates the limits of an entry process.
 * @param options - The dependencies.
 */
export function createServerLimits({ logger }: ServerLimitsOptions): ServerLimits {
    const limits = new LRUCache<string, number>({ max: maximumServers });
    return { recordLimit };

    function recordLimit(instanceId: string, limit: RequestLimit): void {
        const formerRequestsPerSecond = limits.get(instanceId);
        switch (limit.kind) {
            case "none":
                if (limits.delete(instanceId)) {
                    logger.info({ instanceId, formerRequestsPerSecond }, "backend server names no limit any more");
                }
                break;
            case "limited":
                if (limit.requestsPerSecond !== formerRequestsPerSecond) {
                    const { requestsPerSecond } = limit;
                    logger.info(
                        { instanceId, requestsPerSecond, formerRequestsPerSecond },
                        "backend server names a limit",
                    );
                }
                limits.set(instanceId, limit.requestsPerSecond);
                break;
            case "malformed":
                logger.warn({ instanceId, text: limit.text }, "backend server names a malformed limit");
                break;
            default:
                assertNever(limit);
        }
    }
}
