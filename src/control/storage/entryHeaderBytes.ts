/*
 * The size of the fixed part of an entry record.
 */

/** The size of record kind (1), term (8), index (8), time (8), entry kind (1) and data length (4), in bytes. */
export const entryHeaderBytes = 30;
