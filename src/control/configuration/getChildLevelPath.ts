/*
 * Gets the path of a child level.
 */
import { rootLevelPath } from "./rootLevelPath";

/** Gets the path of the child with a name. */
export function getChildLevelPath(levelPath: string, name: string): string {
    return levelPath === rootLevelPath ? `/${name}` : `${levelPath}/${name}`;
}
