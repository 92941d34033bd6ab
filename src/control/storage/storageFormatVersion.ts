/*
 * The version of the format of the files in a log's folder.
 */

/** The format version that this program writes; files of other versions are rejected as corrupt. */
export const storageFormatVersion = 1;
