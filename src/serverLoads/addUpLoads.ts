/*
 * Adds up the load that entry processes report.
 */
import { ServerLoad } from "./ServerLoad";

/**
 * Gets the sum of each engine's load.
 * @param loads - The load that each entry process has caused.
 */
export function addUpLoads(loads: Iterable<ServerLoad>): readonly ServerLoad[] {
    const sums = new Map<string, ServerLoad>();
    for (const { instanceId, requestCount, pendingPrefillTokens, promptTokens } of loads) {
        const sum = sums.get(instanceId);
        sums.set(instanceId, {
            instanceId,
            requestCount: requestCount + (sum?.requestCount ?? 0),
            pendingPrefillTokens: pendingPrefillTokens + (sum?.pendingPrefillTokens ?? 0),
            promptTokens: promptTokens + (sum?.promptTokens ?? 0),
        });
    }
    return [...sums.values()];
}
