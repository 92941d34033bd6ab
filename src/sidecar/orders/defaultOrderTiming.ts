/*
 * The times that a sidecar carries orders out by unless a program sets others.
 */
import { OrderTiming } from "./OrderTiming";

/**
 * The sidecar's times. From a begin to the end of the load they add up to less than the time after which the leader
 * gives a step up, so that a step that was given up loads nothing any more.
 */
export const defaultOrderTiming: OrderTiming = {
    beginWindowMilliseconds: 5_000,
    beginDeadlineMilliseconds: 10_000,
    loadDeadlineMilliseconds: 60_000,
    reportLagMilliseconds: 2_000,
    confirmDeadlineMilliseconds: 5_000,
    pollMilliseconds: 100,
    healthDeadlineMilliseconds: 10_000,
    retryMilliseconds: 200,
    maximumRetryMilliseconds: 5_000,
};
