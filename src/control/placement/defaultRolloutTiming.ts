/*
 * The times that rollouts are planned by unless a program sets others.
 */
import { RolloutTiming } from "./RolloutTiming";

/** The planner's times. A load's deadline exceeds what a sidecar grants itself for beginning and loading. */
export const defaultRolloutTiming: RolloutTiming = {
    planningIntervalMilliseconds: 250,
    registrationDelayMilliseconds: 10_000,
    resendIntervalMilliseconds: 1_000,
    beginDeadlineMilliseconds: 150_000,
    loadDeadlineMilliseconds: 90_000,
    observationMilliseconds: 5_000,
    recordDeadlineMilliseconds: 30_000,
    initialRetryDelayMilliseconds: 2_000,
    maximumRetryDelayMilliseconds: 300_000,
    shrinkDelayMilliseconds: 600_000,
};
