/*
 * The unit of inheritance: the smallest part of a level's settings that is inherited or overridden as a whole.
 */

/** One setting, or one entry of a setting whose entries are inherited individually. */
export interface SettingUnit {
    /** The setting's name, such as `limits` or `priority`. */
    group: string;
    /** The entry's name within the setting; undefined for a setting that is inherited as a whole. */
    entry: string | undefined;
    /** The value of the setting or entry. */
    value: unknown;
}
