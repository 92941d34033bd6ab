/*
 * Declares which processes are suspected because requests to them failed.
 */

/** Suspicions, each of one incarnation and for a limited time. */
export interface Suspicions {
    /** Records that an incarnation has failed a request or could not be reached. */
    add(instanceId: string, incarnation: string): void;
    /** Removes the suspicion of an instance. */
    clear(instanceId: string): void;
    /** Returns whether an incarnation is suspected now. */
    isSuspected(instanceId: string, incarnation: string): boolean;
    /** Returns whether a suspicion may have expired since the last call. */
    hasExpiredSinceLastCall(): boolean;
}
