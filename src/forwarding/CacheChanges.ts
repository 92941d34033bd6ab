/*
 * What a cache answers to the question for its changes.
 */
import { CacheChange } from "./CacheChange";

/** The changes behind a position. */
export interface CacheChanges {
    /** The cache's current life: nothing is kept over its end. */
    incarnation: string;
    /** The position from which to ask next. */
    nextPosition: number;
    /** Whether changes before these are missing. */
    hasGap: boolean;
    /** The changes in order. */
    changes: readonly CacheChange[];
}
