/*
 * Sets into how many buckets a directory is divided for comparison.
 */

/** The number of buckets of instance ids in a directory. */
export const bucketCount = 64;
