/*
 * The limits of the quarantine of requests that crash engines.
 */

/** The limits of the quarantine. They decide how commands apply, so they must be the same at every member. */
export interface QuarantineLimits {
    /** A crash with at most this many requests in flight makes each of them a suspect at once. */
    maximumImmediateSuspects: number;
    /** How long an unexplained crash counts against its candidates, in milliseconds. */
    suspicionRetentionMilliseconds: number;
    /** How long the first quarantine of a request lasts, in milliseconds; doubled for each further one. */
    initialQuarantineMilliseconds: number;
    /** The maximum duration of a quarantine, in milliseconds. */
    maximumQuarantineMilliseconds: number;
    /** How long a request stays a suspect after its quarantine has ended, in milliseconds. */
    convictionRetentionMilliseconds: number;
    /** How many trials may expire without a reported end before the request is quarantined. */
    maximumLostTrials: number;
    /** How many unexplained crashes are kept; the oldest are dropped first. */
    maximumRetainedCrashes: number;
}
