/*
 * The mark of files that a crash may leave half written.
 */

/** The end of the names of files that are not yet complete. */
export const temporaryFileSuffix = ".temporary";
