/*
 * What each workspace asked for and got.
 */
import { RequestRecord } from "../client";
import { getPromptTokens } from "../workloads";
import { WorkspaceShare } from "./WorkspaceShare";

/** Gets the shares by workspace; the subscriber that asks for far more than its share stands for itself. */
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
