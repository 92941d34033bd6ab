/*
 * Compares positions in the configuration tree.
 */
import { rootLevelPath } from "./rootLevelPath";

/**
 * Returns whether a level is a descendant of another one; a level is not its own descendant.
 * @param levelPath - The path of the possible descendant.
 * @param ancestorPath - The path of the possible ancestor.
 */
export function isLevelBelow(levelPath: string, ancestorPath: string): boolean {
    if (ancestorPath === rootLevelPath) {
        return levelPath !== rootLevelPath;
    }
    return levelPath.startsWith(ancestorPath) && levelPath.charAt(ancestorPath.length) === "/";
}
