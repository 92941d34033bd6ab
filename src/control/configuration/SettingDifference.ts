/*
 * One setting that differs between two states of the tree.
 */

/** A setting of one level before and after. */
export interface SettingDifference {
    /** The level's path. */
    level: string;
    /** The setting's dotted name; empty if a level without settings was added or removed. */
    setting: string;
    /** The value before; absent if it was not set. */
    before?: unknown;
    /** The value after; absent if it is not set. */
    after?: unknown;
}
