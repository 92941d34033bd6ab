/*
 * How long evidence against requests counts.
 */

/** The bounds of the quarantine; the same at every member. */
export interface QuarantineLimits {
    /** A crash with at most so many requests in flight makes each of them a suspect at once. */
    maximumImmediateSuspects: number;
    /** How long a crash that nothing explains is held against its candidates, in milliseconds. */
    suspicionRetentionMilliseconds: number;
    /** How long the first quarantine of a request lasts, in milliseconds; each further one lasts twice as long. */
    initialQuarantineMilliseconds: number;
    /** The longest quarantine, in milliseconds. */
    maximumQuarantineMilliseconds: number;
    /** How long after its quarantine a request stays a suspect, in milliseconds. */
    convictionRetentionMilliseconds: number;
    /** How many trials may end without any news before the request counts as guilty. */
    maximumLostTrials: number;
    /** How many unexplained crashes are kept; the oldest go first. */
    maximumRetainedCrashes: number;
}
