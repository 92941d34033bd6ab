/*
 * The argument of the configuration query, as JSON.
 */

/** Selects the level to return. */
export interface ConfigurationQuery {
    /** The level's path. */
    level: string;
    /** Whether to return the whole subtree; false if absent. */
    isSubtree?: boolean;
}
