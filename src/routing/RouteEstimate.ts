/*
 * What a companion said a request would cost there.
 */

/** The cost of a request at a companion that refused it in favour of a sibling. */
export interface RouteEstimate {
    /** Wait and recomputation, weighted, in milliseconds. */
    costMilliseconds: number;
    /** Over how many backend servers the prefix should be spread. */
    replicaCount: number;
}
