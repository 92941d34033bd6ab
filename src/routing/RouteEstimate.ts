/*
 * The estimate that a sidecar sends when it refuses a request in favour of a sibling.
 */

/** The estimated cost of a request at the sidecar that refused it. */
export interface RouteEstimate {
    /** The weighted sum of queueing and recomputation, in milliseconds. */
    costMilliseconds: number;
    /** The number of backend servers that should serve the prefix. */
    replicaCount: number;
}
