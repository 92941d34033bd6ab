/*
 * The names under which a configuration file lists the levels below one.
 */
import { LevelKind } from "./LevelKind";

/** Gets the name of the map that holds the levels right below one; undefined below subscribers. */
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
