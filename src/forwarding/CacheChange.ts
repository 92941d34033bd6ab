/*
 * A change of what a cache of prompt parts holds.
 */

/** One change. */
export interface CacheChange {
    /** Whether the part was added; otherwise it was dropped. */
    isAdded: boolean;
    /** The text under which the part is kept. */
    salt: string;
    /** The part's id. */
    partId: string;
}
