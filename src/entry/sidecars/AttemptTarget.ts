/*
 * Identifies one attempt at one sidecar.
 */

/** The attempt that is followed, and the sidecar that runs it. */
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
    /** Whether the attempt runs under a claim, so that it is resumed even if the sidecar has not sent an event yet. */
    isClaimed: boolean;
}
