/*
 * Gets the path of a level's parent.
 */
import { rootLevelPath } from "./rootLevelPath";

/** Gets the path of a level's parent; undefined for the root. */
export function getParentLevelPath(levelPath: string): string | undefined {
    if (levelPath === rootLevelPath) {
        return undefined;
    }
    const lastSlash = levelPath.lastIndexOf("/");
    return lastSlash <= 0 ? rootLevelPath : levelPath.slice(0, lastSlash);
}
