/*
 * The times that rollouts are planned by.
 */

/** How long the planner waits for what; all in milliseconds. */
export interface RolloutTiming {
    /** How often the planner looks at targets, records and steps; a fourth as often while all is in place. */
    planningIntervalMilliseconds: number;
    /** How long a new leader lets processes register before it judges who is there. */
    registrationDelayMilliseconds: number;
    /** How often an order whose step is open is sent again; a tenth as often once it has begun. */
    resendIntervalMilliseconds: number;
    /** How long a sidecar may take to finish the work in flight and begin an order. */
    beginDeadlineMilliseconds: number;
    /** How long a sidecar may take from when it has begun until the step has ended. */
    loadDeadlineMilliseconds: number;
    /** How long the canary must stay healthy. */
    observationMilliseconds: number;
    /** How long the canary's record may lag behind its step. */
    recordDeadlineMilliseconds: number;
    /** How long a sidecar is left alone after its first unsuccessful step; doubled for each further one. */
    initialRetryDelayMilliseconds: number;
    /** The longest that a sidecar is left alone. */
    maximumRetryDelayMilliseconds: number;
    /** How long backend servers must be missing before the capacity floor is counted against fewer. */
    shrinkDelayMilliseconds: number;
}
