/*
 * A change of the contents of a KV cache store.
 */

/** One added or removed prompt part. */
export interface CacheChange {
    /** Whether the part was added; otherwise it was removed. */
    isAdded: boolean;
    /** The salt under which the part is cached. */
    salt: string;
    /** The part's id. */
    partId: string;
}
