/*
 * The size of the KV cache data of one entry.
 */

/** The maximum size of a cache entry's data, in bytes. */
export const maximumCacheBytes = 134_217_728;
