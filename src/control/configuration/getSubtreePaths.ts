/*
 * Finds the levels of a subtree.
 */
import { isLevelBelow } from "./isLevelBelow";

/**
 * Gets the paths of a level and of all levels below it, as far as they are there.
 * @param levels - The levels, by path.
 * @param levelPath - The path of the subtree's highest level.
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
