/*
 * One level in a declarative configuration file.
 */
import { LevelSettings } from "./LevelSettings";

/** A level and its descendants; the kind of the level determines which of the three maps it may have. */
export interface ConfigurationFileNode {
    /** The settings that the level itself sets. */
    settings?: LevelSettings;
    /** The workspaces, by name; only at the root. */
    workspaces?: Readonly<Record<string, ConfigurationFileNode>>;
    /** The teams, by name; only at a workspace. */
    teams?: Readonly<Record<string, ConfigurationFileNode>>;
    /** The subscribers, by name; only at a team. */
    subscribers?: Readonly<Record<string, ConfigurationFileNode>>;
}
