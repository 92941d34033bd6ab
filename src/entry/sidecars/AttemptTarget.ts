/*
 * Which attempt at which sidecar.
 */

/** An attempt at a sidecar. */
export interface AttemptTarget {
    /** The sidecar's instance id. */
    instanceId: string;
    /** The sidecar's internal address. */
    address: string;
    /** The sidecar's incarnation. */
    incarnation: string;
    /** The request's id. */
    requestId: string;
    /** The attempt's number within its request. */
    attempt: number;
    /** Whether the attempt runs under a claim, so that it is come back for even where nothing was heard of it yet. */
    isClaimed: boolean;
}
