/*
 * The path of the root of the configuration tree.
 */

/** The path of the root level. */
export const rootLevelPath = "/";
