/*
 * What a backend server tells of its load with each answer.
 */

/** The load of a backend server. */
export interface LoadReport {
    /** The requests that it runs. */
    running: number;
    /** The requests that wait there. */
    waiting: number;
    /** How many it runs at once. */
    slots: number;
}
