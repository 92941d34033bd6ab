/*
 * Adds up the load and the evidence of speeds that entry processes report.
 */
import { ServerLoad } from "./ServerLoad";

/**
 * Gets the sum of each engine's load.
 * @param loads - The load that each entry process has caused.
 */
export function addUpLoads(loads: Iterable<ServerLoad>): readonly ServerLoad[] {
    const sums = new Map<string, ServerLoad>();
    for (const load of loads) {
        const { instanceId } = load;
        const sum = sums.get(instanceId);
        sums.set(instanceId, {
            instanceId,
            requestCount: load.requestCount + (sum?.requestCount ?? 0),
            pendingPrefillTokens: load.pendingPrefillTokens + (sum?.pendingPrefillTokens ?? 0),
            promptTokens: load.promptTokens + (sum?.promptTokens ?? 0),
            workWeight: load.workWeight + (sum?.workWeight ?? 0),
            weightedWork: load.weightedWork + (sum?.weightedWork ?? 0),
        });
    }
    return [...sums.values()];
}
