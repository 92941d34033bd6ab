/*
 * Distinguishes changes that one region orders alone from those that every region must accept.
 */
import { ConfigurationOperation } from "../../protocol";
import { ChangeScope } from "./ChangeScope";

/**
 * Gets the scope of a change.
 * @param operations - The change's operations.
 * @param getHomeRegion - Gets a workspace's home region; undefined if the workspace doesn't exist yet.
 */
export function getChangeScope(
    operations: readonly ConfigurationOperation[],
    getHomeRegion: (workspace: string) => string | undefined,
): ChangeScope {
    const regions = new Set(operations.map(operation => getOrderingRegion(operation, getHomeRegion)));
    const [region] = regions;
    return regions.size === 1 && region !== undefined ? { kind: "region", region } : { kind: "spanning" };
}

/** Gets the region that may order an operation alone; undefined for the root, and to create or remove a workspace. */
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
