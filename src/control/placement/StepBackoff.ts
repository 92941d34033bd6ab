/*
 * What the planner remembers of its attempts.
 */

/** Remembers unsuccessful steps, so that a sidecar is not ordered the same thing without a pause. */
export interface StepBackoff {
    /** Notes that an order is being opened for a sidecar. */
    recordAttempt(sidecar: string, order: string): void;
    /** Forgets a sidecar's attempts, since it holds all that is wanted. */
    reset(sidecar: string): void;
    /** Whether a sidecar has just been tried and not yet shown the outcome. */
    isBackingOff(sidecar: string, order: string): boolean;
}
