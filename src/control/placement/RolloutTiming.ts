/*
 * The intervals, deadlines and delays of rollout planning.
 */

/** The timing of the rollout planner; all values are in milliseconds. */
export interface RolloutTiming {
    /** The interval between planning rounds; four times as long while every rollout is done. */
    planningIntervalMilliseconds: number;
    /** How long a new leader waits for processes to register before it plans. */
    registrationDelayMilliseconds: number;
    /** The interval at which the order of an open step is sent again; ten times as long once the step has begun. */
    resendIntervalMilliseconds: number;
    /** How long a sidecar may take to finish the requests in flight and begin an order. */
    beginDeadlineMilliseconds: number;
    /** How long a sidecar may take from beginning an order to the end of its step. */
    loadDeadlineMilliseconds: number;
    /** How long the canary must stay healthy to pass. */
    observationMilliseconds: number;
    /** How long the directory record of the canary may take to show the result of its step. */
    recordDeadlineMilliseconds: number;
    /** The delay before a sidecar gets the same order again; doubled for each further attempt. */
    initialRetryDelayMilliseconds: number;
    /** The maximum delay before a sidecar gets the same order again. */
    maximumRetryDelayMilliseconds: number;
    /** How long backend servers must be missing before the capacity floor is a share of the smaller number. */
    shrinkDelayMilliseconds: number;
}
