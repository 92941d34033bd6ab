/*
 * What an entry knows of the stores of kept KV cache.
 */

/** The parts that stores hold. */
export interface KvCacheStoreView {
    /** Tells whether a store answers. */
    isReachable(address: string): boolean;
    /** Tells whether a store is known to hold a part. */
    hasPart(address: string, salt: string, partId: string): boolean;
}
