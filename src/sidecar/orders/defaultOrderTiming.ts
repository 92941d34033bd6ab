/*
 * The default timing of an order executor.
 */
import { OrderTiming } from "./OrderTiming";

/**
 * The default timing. The times from the begin of an order to the end of its load add up to less than the time after
 * which the leader gives up a step, so that no load of a step is still in progress after the step was given up.
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
