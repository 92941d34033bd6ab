/*
 * A KV cache store's response to a poll for changes.
 */
import { CacheChange } from "./CacheChange";

/** The changes after a position. */
export interface CacheChanges {
    /** The store's current incarnation; a restart begins a new one with an empty store. */
    incarnation: string;
    /** The position to poll from next. */
    nextPosition: number;
    /** Whether earlier changes are missing, so that what was known of the store is no longer valid. */
    hasGap: boolean;
    /** The changes in order. */
    changes: readonly CacheChange[];
}
