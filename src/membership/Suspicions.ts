/*
 * Which processes the data path has found to fail.
 */

/** Suspicions that expire, and that concern one incarnation each. */
export interface Suspicions {
    /** Notes that an incarnation has failed a request or could not be reached. */
    add(instanceId: string, incarnation: string): void;
    /** Drops what is held against an instance. */
    clear(instanceId: string): void;
    /** Tells whether an incarnation is suspected now. */
    isSuspected(instanceId: string, incarnation: string): boolean;
    /** Tells whether a suspicion has ended since the last call. */
    hasExpiredSinceLastCall(): boolean;
}
