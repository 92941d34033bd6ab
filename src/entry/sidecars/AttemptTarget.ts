/*
 * Which attempt at which companion.
 */

/** An attempt at a companion. */
export interface AttemptTarget {
    /** The companion's instance id. */
    instanceId: string;
    /** The companion's internal address. */
    address: string;
    /** The companion's incarnation. */
    incarnation: string;
    /** The request's id. */
    requestId: string;
    /** The attempt's number within its request. */
    attempt: number;
    /** Whether the attempt runs under a claim, so that it is come back for even where nothing was heard of it yet. */
    isClaimed: boolean;
}
