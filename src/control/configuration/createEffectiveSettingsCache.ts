/*
 * Computes the settings in force at a level, once for each level and revision.
 */
import { computeEffectiveSettings } from "./computeEffectiveSettings";
import { ConfigurationTree } from "./ConfigurationTree";
import { EffectiveSettings } from "./EffectiveSettings";
import { EffectiveSettingsCache } from "./EffectiveSettingsCache";
import { getParentLevelPath } from "./getParentLevelPath";

/**
 * Creates a cache over a tree.
 * @param tree - The tree; the caller clears the cache after each change of it.
 */
export function createEffectiveSettingsCache(tree: ConfigurationTree): EffectiveSettingsCache {
    const settingsByLevel = new Map<string, EffectiveSettings>();
    return { getEffectiveSettings, clear: () => settingsByLevel.clear() };

    function getEffectiveSettings(levelPath: string): EffectiveSettings {
        return settingsByLevel.get(levelPath) ?? computeSettings(levelPath);
    }

    function computeSettings(levelPath: string): EffectiveSettings {
        const parentPath = getParentLevelPath(levelPath);
        const parent = parentPath === undefined ? undefined : getEffectiveSettings(parentPath);
        const own = tree.getOwnSettings(levelPath);
        const settings = computeEffectiveSettings(levelPath, own ?? {}, parent);
        // Only existing levels are cached, so that paths from external requests can't exhaust the memory.
        if (own !== undefined) {
            settingsByLevel.set(levelPath, settings);
        }
        return settings;
    }
}
