/*
 * Lists the levels from which a level inherits.
 */
import { getParentLevelPath } from "./getParentLevelPath";

/** Gets the paths from the root down to a level, including the level itself. */
export function getLevelPathsFromRoot(levelPath: string): readonly string[] {
    const paths: string[] = [];
    let path: string | undefined = levelPath;
    while (path !== undefined) {
        paths.unshift(path);
        path = getParentLevelPath(path);
    }
    return paths;
}
