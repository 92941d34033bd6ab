/*
 * The size of the header at the start of the binary files of a log's folder.
 */

/** The size of a file's header, in bytes: kind (8), format version (4) and checksum (4). */
export const fileHeaderBytes = 16;
