/*
 * Converts a subtree to the content of a declarative configuration file.
 */
import { compareLevelPaths } from "./compareLevelPaths";
import { ConfigurationFileNode } from "./ConfigurationFileNode";
import { getChildrenPropertyName } from "./getChildrenPropertyName";
import { getLevelKind } from "./getLevelKind";
import { getParentLevelPath } from "./getParentLevelPath";
import { LevelSettings } from "./LevelSettings";

/** A node under construction. */
interface MutableNode {
    settings?: LevelSettings;
    workspaces?: Record<string, MutableNode>;
    teams?: Record<string, MutableNode>;
    subscribers?: Record<string, MutableNode>;
}

/**
 * Creates the content of a configuration file; empty maps and empty settings are omitted.
 * @param levels - The own settings of the subtree's levels, by path.
 * @param levelPath - The path of the subtree's root.
 */
export function createConfigurationFile(
    levels: ReadonlyMap<string, LevelSettings>,
    levelPath: string,
): ConfigurationFileNode {
    const nodes = new Map<string, MutableNode>();
    for (const path of [...levels.keys()].sort(compareLevelPaths)) {
        const settings = levels.get(path)!;
        const node: MutableNode = Object.keys(settings).length > 0 ? { settings } : {};
        nodes.set(path, node);
        if (path !== levelPath) {
            addChild(nodes.get(getParentLevelPath(path)!), path, node);
        }
    }
    return nodes.get(levelPath) ?? {};
}

function addChild(parent: MutableNode | undefined, path: string, child: MutableNode): void {
    const childrenName = getChildrenPropertyName(getLevelKind(getParentLevelPath(path)!)!);
    if (parent === undefined || childrenName === undefined) {
        return;
    }
    const name = path.slice(path.lastIndexOf("/") + 1);
    parent[childrenName] ??= {};
    parent[childrenName][name] = child;
}
