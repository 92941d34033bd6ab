/*
 * An entry process's view of the contents of the KV cache stores.
 */

/** The prompt parts that KV cache stores hold. */
export interface KvCacheStoreView {
    /** Returns whether a store responds. */
    isReachable(address: string): boolean;
    /**
     * Returns whether a store is known to hold a part.
     * @param address - The store's address, as `ip:port`.
     * @param salt - The salt under which the part is cached.
     * @param partId - The part's id.
     */
    hasPart(address: string, salt: string, partId: string): boolean;
}
