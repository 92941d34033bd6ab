/*
 * The times that a sidecar carries orders out by.
 */

/** How long a sidecar waits for what; all in milliseconds. */
export interface OrderTiming {
    /** How old the answer to a begin may be when the order is passed on. */
    maximumBeginAgeMilliseconds: number;
    /** How long the control members are asked before the order is given up for now. */
    beginTimeoutMilliseconds: number;
    /** How long a load may take. */
    loadTimeoutMilliseconds: number;
    /** How much later than the truth the engine's load report may be. */
    maximumReportLagMilliseconds: number;
    /** How long the engine may take to report what it says it has done. */
    confirmationTimeoutMilliseconds: number;
    /** How often the engine's load report is read meanwhile. */
    pollIntervalMilliseconds: number;
    /** How long the first try after an order may take. */
    healthCheckTimeoutMilliseconds: number;
    /** The first pause before the control members are asked again; doubled for each further one. */
    initialRetryDelayMilliseconds: number;
    /** The longest pause before the control members are asked again. */
    maximumRetryDelayMilliseconds: number;
}
