/*
 * How fairly a run shared the engines among workspaces and subscribers.
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
 * Gets Jain's index over demand-limited shares: the capacity that was used is shared among workspaces and then among
 * their subscribers, nobody getting more than it asked for, and each subscriber's part of its share counts.
 * @param arrivalEndMilliseconds - When arrivals ended; what was answered later does not count as served.
 */
export function getFairnessIndex(records: readonly RequestRecord[], arrivalEndMilliseconds: number): number {
    const usages = [...getUsages(records, arrivalEndMilliseconds).values()];
    const workspaces = [...new Set(usages.map(use => use.workspace))];
    const groups = workspaces.map(workspace => usages.filter(use => use.workspace === workspace));
    const capacity = getSum(usages, use => use.servedTokens);
    const workspaceShares = getMaxMinFairShares(groups.map(group => getSum(group, use => use.demandTokens)), capacity);
    const servedShares = groups.flatMap((group, index) => {
        const shares = getMaxMinFairShares(group.map(use => use.demandTokens), workspaceShares[index]!);
        return group.map((use, position) => {
            const share = shares[position]!;
            return share === 0 ? 1 : Math.min(1, use.servedTokens / share);
        });
    });
    return getJainIndex(servedShares);
}

/** Adds up what each subscriber asked for and got, in tokens. */
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
