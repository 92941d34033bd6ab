/*
 * Determines the kind of a level from its path.
 */
import { LevelKind } from "./LevelKind";
import { levelNamePattern } from "./levelNamePattern";
import { rootLevelPath } from "./rootLevelPath";

const name = levelNamePattern.source.slice(1, -1);
const pathPattern = new RegExp(`^/${name}(/${name})?(/${name})?$`);

/**
 * Gets the kind of the level with a path.
 * @param levelPath - The path; any text is allowed.
 * @returns The kind; undefined if the text is not a valid level path.
 */
export function getLevelKind(levelPath: string): LevelKind | undefined {
    if (levelPath === rootLevelPath) {
        return LevelKind.Root;
    }
    const match = pathPattern.exec(levelPath);
    if (!match) {
        return undefined;
    }
    if (match[1] === undefined) {
        return LevelKind.Workspace;
    }
    return match[2] === undefined ? LevelKind.Team : LevelKind.Subscriber;
}
