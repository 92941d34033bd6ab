/*
 * The properties of a configuration file that hold the children of a level.
 */
import { LevelKind } from "./LevelKind";

/** Gets the name of the property that holds the children of a level; undefined for subscribers, which have none. */
export function getChildrenPropertyName(kind: LevelKind): "workspaces" | "teams" | "subscribers" | undefined {
    switch (kind) {
        case LevelKind.Root:
            return "workspaces";
        case LevelKind.Workspace:
            return "teams";
        case LevelKind.Team:
            return "subscribers";
        case LevelKind.Subscriber:
            return undefined;
    }
}
