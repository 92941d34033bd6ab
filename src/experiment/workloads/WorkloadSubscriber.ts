/*
 * A subscriber that sends requests of a workload.
 */

/** A subscriber of a workload. */
export interface WorkloadSubscriber {
    /** The workspace's name. */
    workspace: string;
    /** The team's name. */
    team: string;
    /** The subscriber's path in the configuration tree. */
    path: string;
    /** The API key that identifies the subscriber. */
    key: string;
}
