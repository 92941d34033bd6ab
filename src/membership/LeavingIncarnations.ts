/*
 * Declares the set of incarnations that are known to be leaving.
 */

/** Incarnations that are leaving. Callers can add to the set but not remove from it. */
export interface LeavingIncarnations {
    /**
     * Records that an incarnation is leaving.
     * @returns Whether the incarnation was added; false if it was recorded before.
     */
    add(instanceId: string, incarnation: string): boolean;
    /** Returns whether an incarnation is recorded as leaving. */
    has(instanceId: string, incarnation: string): boolean;
}
