/*
 * The default timing of rollout planning.
 */
import { RolloutTiming } from "./RolloutTiming";

/** The timing of the planner where nothing else is set. The load deadline exceeds the time that a sidecar
 * allows itself to begin and execute an order. */
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
