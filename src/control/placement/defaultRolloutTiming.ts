/*
 * The times that rollouts are planned by unless a program sets others.
 */
import { RolloutTiming } from "./RolloutTiming";

/** The planner's times. A load's deadline exceeds what a sidecar grants itself for beginning and loading. */
export const defaultRolloutTiming: RolloutTiming = {
    intervalMilliseconds: 250,
    settleMilliseconds: 10_000,
    resendMilliseconds: 1_000,
    beginDeadlineMilliseconds: 150_000,
    loadDeadlineMilliseconds: 90_000,
    observationMilliseconds: 5_000,
    recordDeadlineMilliseconds: 30_000,
    retryMilliseconds: 2_000,
    maximumRetryMilliseconds: 300_000,
    shrinkMilliseconds: 600_000,
};
