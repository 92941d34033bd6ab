/*
 * Tells changes that one region orders by itself from those that every region has to accept.
 */
import { ConfigurationOperation } from "../../protocol";
import { ChangeScope } from "./ChangeScope";

/**
 * Gets the scope of a change.
 * @param operations - The change's operations.
 * @param getHomeRegion - Gets a workspace's home region; undefined for a workspace that is not there yet.
 */
export function getChangeScope(
    operations: readonly ConfigurationOperation[],
    getHomeRegion: (workspace: string) => string | undefined,
): ChangeScope {
    const regions = new Set(operations.map(operation => getOrderingRegion(operation, getHomeRegion)));
    const [region] = regions;
    return regions.size === 1 && region !== undefined ? { kind: "region", region } : { kind: "spanning" };
}

/** Gets the region that may order an operation by itself; the root, and a workspace's coming and going, have none. */
function getOrderingRegion(
    { level, removeLevel }: ConfigurationOperation,
    getHomeRegion: (workspace: string) => string | undefined,
): string | undefined {
    const [, workspace = "", team] = level.split("/");
    const isWholeWorkspace = team === undefined;
    if (workspace === "" || (isWholeWorkspace && removeLevel)) {
        return undefined;
    }
    return getHomeRegion(workspace);
}
