/*
 * What the client of a kept-cache store is created from.
 */

/** The options of a kept-cache store's client. */
export interface KvCacheStoreClientOptions {
    /** The store's address, as `http://ip:port`. */
    address: string;
    /** Hears that the store did not answer, or gave what was not written under the key; not of calls given up. */
    onFailure?(): void;
}
