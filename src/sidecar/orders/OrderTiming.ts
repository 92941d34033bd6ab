/*
 * The timeouts and intervals of a sidecar's handling of orders.
 */

/** The timing of an order executor. */
export interface OrderTiming {
    /** The maximum time between the request to begin an order and passing the order on. */
    maximumBeginAgeMilliseconds: number;
    /** How long the control members are asked to begin an order before it is given up for now. */
    beginTimeoutMilliseconds: number;
    /** How long a load may take. */
    loadTimeoutMilliseconds: number;
    /** The maximum age of the state in the engine's load report. */
    maximumReportLagMilliseconds: number;
    /** How long the engine may take to report the effect of an order after it has acknowledged it. */
    confirmationTimeoutMilliseconds: number;
    /** The interval at which the engine's load report is read during that wait. */
    pollIntervalMilliseconds: number;
    /** How long the health check after an order may take. */
    healthCheckTimeoutMilliseconds: number;
    /** The first delay before the control members are asked again; doubled for each further retry. */
    initialRetryDelayMilliseconds: number;
    /** The maximum delay before the control members are asked again. */
    maximumRetryDelayMilliseconds: number;
}
