/*
 * Gets the kind of the children of a level.
 */
import { LevelKind } from "./LevelKind";

/** Gets the kind of the children of a level; undefined for subscribers, which have none. */
export function getChildKind(kind: LevelKind): LevelKind | undefined {
    switch (kind) {
        case LevelKind.Root:
            return LevelKind.Workspace;
        case LevelKind.Workspace:
            return LevelKind.Team;
        case LevelKind.Team:
            return LevelKind.Subscriber;
        case LevelKind.Subscriber:
            return undefined;
    }
}
