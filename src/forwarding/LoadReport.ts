/*
 * The load that a backend server reports with each response.
 */

/** The load of a backend server. */
export interface LoadReport {
    /** The number of requests that it is running. */
    running: number;
    /** The number of requests in its queue. */
    waiting: number;
    /** The number of requests that it can run at once. */
    slots: number;
    /** How long work takes on its machine at the moment, in percent of the usual time; absent where it does not say. */
    workPercent?: number;
}
