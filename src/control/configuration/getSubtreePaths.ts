/*
 * Lists the levels of a subtree.
 */
import { isLevelBelow } from "./isLevelBelow";

/**
 * Gets the paths of a level and its descendants, of those that exist.
 * @param levels - All levels, by path.
 * @param levelPath - The path of the subtree's root.
 */
export function getSubtreePaths(levels: ReadonlyMap<string, unknown>, levelPath: string): readonly string[] {
    const paths: string[] = [];
    for (const path of levels.keys()) {
        if (path === levelPath || isLevelBelow(path, levelPath)) {
            paths.push(path);
        }
    }
    return paths;
}
