/*
 * The settings in force at a level: its own and those that it inherits.
 */
import { LevelSettings } from "./LevelSettings";
import { RequestLimits } from "./RequestLimits";

/** The settings in force at a level. */
export interface EffectiveSettings {
    /** The values in force. */
    values: LevelSettings;
    /** The path of the level that sets each value, by dotted setting name. */
    origins: Readonly<Record<string, string>>;
    /** The limits of each level from the workspace down; a request must satisfy all of them. */
    limitsByLevel: readonly { level: string; limits: RequestLimits; }[];
    /** The share weights of the workspace and of the subscriber, each relative to its siblings. */
    shareWeights: { workspace: number; subscriber: number; };
}
