/*
 * Works out inheritance, once for each level and revision.
 */
import { computeEffectiveSettings } from "./computeEffectiveSettings";
import { ConfigurationTree } from "./ConfigurationTree";
import { EffectiveSettings } from "./EffectiveSettings";
import { EffectiveSettingsCache } from "./EffectiveSettingsCache";
import { getParentLevelPath } from "./getParentLevelPath";

/**
 * Creates a cache over a tree.
 * @param tree - The tree; the cache is cleared by whoever changes it.
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
        // Only levels of the tree are kept, so that paths from outside can't fill the memory.
        if (own !== undefined) {
            settingsByLevel.set(levelPath, settings);
        }
        return settings;
    }
}
