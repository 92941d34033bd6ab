/*
 * Computes the operations that change a subtree from one state to another.
 */
import { create } from "@bufbuild/protobuf";
import { ConfigurationOperation, ConfigurationOperationSchema } from "../../protocol";
import { compareLevelPaths } from "./compareLevelPaths";
import { formatLevelSettings } from "./formatLevelSettings";
import { getParentLevelPath } from "./getParentLevelPath";
import { LevelSettings } from "./LevelSettings";

/**
 * Gets the operations that change the current levels to the desired ones.
 * @param current - The current own settings of the subtree's levels, by path.
 * @param desired - The desired own settings of the subtree's levels, by path; a level that is missing here is removed.
 */
export function planConfiguration(
    current: ReadonlyMap<string, LevelSettings>,
    desired: ReadonlyMap<string, LevelSettings>,
): ConfigurationOperation[] {
    const removals = new Set([...current.keys()].filter(path => !desired.has(path)).sort(compareLevelPaths));
    const topmostRemovals = [...removals].filter(path => !removals.has(getParentLevelPath(path) ?? ""));
    const operations = topmostRemovals.map(level => {
        return create(ConfigurationOperationSchema, { level, removeLevel: true });
    });
    for (const [level, settings] of desired) {
        const value = formatLevelSettings(settings);
        const currentSettings = current.get(level);
        if (currentSettings === undefined || formatLevelSettings(currentSettings) !== value) {
            operations.push(create(ConfigurationOperationSchema, { level, value }));
        }
    }
    return operations;
}
