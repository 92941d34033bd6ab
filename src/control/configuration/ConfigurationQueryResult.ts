/*
 * What the configuration query answers, fit for JSON.
 */
import { LevelSettings } from "./LevelSettings";

/** One level's settings, with the whole subtree where asked for. */
export interface ConfigurationQueryResult {
    /** The revision of the answer. */
    revision: number;
    /** The level's path. */
    level: string;
    /** Whether there is such a level. */
    exists: boolean;
    /** What the level itself sets. */
    own: LevelSettings;
    /** What is in force at the level. */
    effective: LevelSettings;
    /** The path of the level that each value in force comes from, by dotted setting name. */
    origins: Readonly<Record<string, string>>;
    /** The paths of the levels right below. */
    children: readonly string[];
    /** The own settings of the level and of all below it, by path; only where asked for. */
    levels?: Readonly<Record<string, LevelSettings>>;
}
