/*
 * Calculates the demand and the served tokens of each workspace.
 */
import { RequestRecord } from "../client";
import { getPromptTokens } from "../workloads";
import { WorkspaceShare } from "./WorkspaceShare";

/**
 * Gets the demand and the served tokens of each workspace, sorted by name; the subscriber that sends excess traffic is
 * listed separately.
 * @param records - The records of the run's requests; only completions count.
 * @param arrivalEndMilliseconds - The end of arrivals, in milliseconds from the workload's start; later completions
 *     do not count as served.
 */
export function getWorkspaceShares(
    records: readonly RequestRecord[],
    arrivalEndMilliseconds: number,
): readonly WorkspaceShare[] {
    const shares = new Map<string, WorkspaceShare>();
    for (const { endMilliseconds, outcome, request } of records) {
        if (request.kind !== "completion") {
            continue;
        }
        const name = request.isExcess ? request.subscriber.path : request.subscriber.workspace;
        const share = shares.get(name) ?? { name, demandTokens: 0, servedTokens: 0 };
        const tokens = getPromptTokens(request.parts);
        share.demandTokens += tokens;
        share.servedTokens += outcome === "completed" && endMilliseconds <= arrivalEndMilliseconds ? tokens : 0;
        shares.set(name, share);
    }
    return [...shares.values()].sort((first, second) => first.name.localeCompare(second.name));
}
