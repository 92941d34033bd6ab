/*
 * Works out the change that turns one state of a subtree into another.
 */
import { create } from "@bufbuild/protobuf";
import { ConfigurationOperation, ConfigurationOperationSchema } from "../../protocol";
import { compareLevelPaths } from "./compareLevelPaths";
import { formatLevelSettings } from "./formatLevelSettings";
import { getParentLevelPath } from "./getParentLevelPath";
import { LevelSettings } from "./LevelSettings";

/**
 * Gets the operations that turn the current levels into the wanted ones.
 * @param current - The own settings of the subtree's levels as they are, by path.
 * @param desired - The own settings of the subtree's levels as they should be; a level that is missing is removed.
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
