/*
 * The options of createKvCacheStoreClient.
 */

/** The options of a KV cache store's client. */
export interface KvCacheStoreClientOptions {
    /** The store's address, as `http://ip:port`. */
    address: string;
    /**
     * Called when the store does not respond, responds with an error, or returns data that was not written under the
     * requested key. Not called for cancelled calls.
     */
    onFailure?(): void;
}
