/*
 * The times that a sidecar carries orders out by unless a program sets others.
 */
import { OrderTiming } from "./OrderTiming";

/**
 * The sidecar's times. From a begin to the end of the load they add up to less than the time after which the leader
 * gives a step up, so that a step that was given up loads nothing any more.
 */
export const defaultOrderTiming: OrderTiming = {
    maximumBeginAgeMilliseconds: 5_000,
    beginTimeoutMilliseconds: 10_000,
    loadTimeoutMilliseconds: 60_000,
    maximumReportLagMilliseconds: 2_000,
    confirmationTimeoutMilliseconds: 5_000,
    pollIntervalMilliseconds: 100,
    healthCheckTimeoutMilliseconds: 10_000,
    initialRetryDelayMilliseconds: 200,
    maximumRetryDelayMilliseconds: 5_000,
};
