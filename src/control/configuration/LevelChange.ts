/*
 * The effect of one change on one level.
 */

/** A level's own settings before and after a change, as JSON. */
export interface LevelChange {
    /** The level's path. */
    level: string;
    /** The settings before; undefined if the level did not exist. */
    before: string | undefined;
    /** The settings after; undefined if the change removed the level. */
    after: string | undefined;
}
