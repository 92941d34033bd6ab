/*
 * What the planner remembers of its attempts.
 */

/** Remembers unsuccessful steps, so that a companion is not ordered the same thing without a pause. */
export interface StepMemory {
    /** Notes that an order is being opened for a companion. */
    addAttempt(sidecar: string, order: string): void;
    /** Forgets a companion's attempts, since it holds all that is wanted. */
    removeAttempts(sidecar: string): void;
    /** Whether a companion has just been tried and not yet shown the outcome. */
    isWaiting(sidecar: string, order: string): boolean;
}
