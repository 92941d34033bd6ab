/*
 * What distinguishes requests that compete for an entry process.
 */

/** The workspace and the urgency of a request. */
export interface RequestClass {
    /** The workspace whose share the request uses; empty for requests without a known key. */
    workspace: string;
    /** The priority of the workspace; 0 is the most urgent. */
    workspacePriority: number;
    /** The priority of the route; 0 is the most urgent. */
    routePriority: number;
    /** The latency objective of the route, in milliseconds. */
    targetLatencyMilliseconds: number;
}
