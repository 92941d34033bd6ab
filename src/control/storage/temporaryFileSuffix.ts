/*
 * The suffix of files that a crash may leave incomplete.
 */

/** The suffix of the names of files that are still being written. */
export const temporaryFileSuffix = ".temporary";
