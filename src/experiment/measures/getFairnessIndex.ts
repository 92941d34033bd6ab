/*
 * Measures how fairly a run divided the engines' capacity among workspaces and subscribers.
 */
import { RequestRecord } from "../client";
import { getPromptTokens } from "../workloads";
import { getJainIndex } from "./getJainIndex";
import { getMaxMinFairShares } from "./getMaxMinFairShares";

interface SubscriberUsage {
    workspace: string;
    demandTokens: number;
    servedTokens: number;
}

/**
 * Gets Jain's fairness index over demand-limited shares. The served capacity is divided max-min fairly among workspaces
 * and then among their subscribers; the index is that of the parts of their fair shares that the subscribers got.
 * @param records - The records of the run's requests; only completions count.
 * @param arrivalEndMilliseconds - The end of arrivals, in milliseconds from the workload's start; later completions
 *     do not count as served.
 */
export function getFairnessIndex(records: readonly RequestRecord[], arrivalEndMilliseconds: number): number {
    const usages = [...getUsages(records, arrivalEndMilliseconds).values()];
    const workspaces = [...new Set(usages.map(usage => usage.workspace))];
    const groups = workspaces.map(workspace => usages.filter(usage => usage.workspace === workspace));
    const capacity = getSum(usages, usage => usage.servedTokens);
    const workspaceShares = getMaxMinFairShares(
        groups.map(group => getSum(group, usage => usage.demandTokens)),
        capacity,
    );
    const servedShares = groups.flatMap((group, index) => {
        const shares = getMaxMinFairShares(group.map(usage => usage.demandTokens), workspaceShares[index]!);
        return group.map((usage, position) => {
            const share = shares[position]!;
            return share === 0 ? 1 : Math.min(1, usage.servedTokens / share);
        });
    });
    return getJainIndex(servedShares);
}

/** Adds up the prompt tokens that each subscriber requested and that were served, by the subscriber's path. */
function getUsages(
    records: readonly RequestRecord[],
    arrivalEndMilliseconds: number,
): ReadonlyMap<string, SubscriberUsage> {
    const usages = new Map<string, SubscriberUsage>();
    for (const { endMilliseconds, outcome, request } of records) {
        if (request.kind !== "completion") {
            continue;
        }
        const { path, workspace } = request.subscriber;
        const usage = usages.get(path) ?? { workspace, demandTokens: 0, servedTokens: 0 };
        const tokens = getPromptTokens(request.parts);
        usage.demandTokens += tokens;
        usage.servedTokens += outcome === "completed" && endMilliseconds <= arrivalEndMilliseconds ? tokens : 0;
        usages.set(path, usage);
    }
    return usages;
}

function getSum<T>(items: readonly T[], getValue: (item: T) => number): number {
    return items.reduce((total, item) => total + getValue(item), 0);
}
