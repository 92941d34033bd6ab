/*
 * A cache of the settings in force at each level.
 */
import { EffectiveSettings } from "./EffectiveSettings";

/** Computes the settings in force at a level once for each revision. */
export interface EffectiveSettingsCache {
    /** Gets the settings in force at a level; a level that does not exist gets the settings that it would inherit. */
    getEffectiveSettings(levelPath: string): EffectiveSettings;
    /** Removes all entries; to be called after each change of the tree. */
    clear(): void;
}
