/*
 * The result of the configuration query, in a form that can be written as JSON.
 */
import { LevelSettings } from "./LevelSettings";

/** The settings of one level and, on request, of its whole subtree. */
export interface ConfigurationQueryResult {
    /** The revision of the tree that was read. */
    revision: number;
    /** The level's path. */
    level: string;
    /** Whether the level exists. */
    exists: boolean;
    /** The settings that the level itself sets. */
    own: LevelSettings;
    /** The settings in force at the level, inherited ones included. */
    effective: LevelSettings;
    /** The path of the level that sets each value in force, by dotted setting name. */
    origins: Readonly<Record<string, string>>;
    /** The paths of the direct children, sorted. */
    children: readonly string[];
    /** The own settings of the level and of all its descendants, by path; only if the query requests the subtree. */
    levels?: Readonly<Record<string, LevelSettings>>;
}
