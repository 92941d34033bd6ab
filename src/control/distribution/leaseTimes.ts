/*
 * The durations of leases. A member counts its lease from when it sent the request. The leader counts it from when it sent
 * the response, and for longer, so that it never treats a running lease as ended.
 */

/** The durations of leases, in milliseconds. */
export const leaseTimes = {
    /** How long a lease runs from when it was requested. */
    leaseMilliseconds: 10_000,
    /** How long the leader assumes a lease to run from when it granted it; covers clocks that run at different rates. */
    assumedLeaseMilliseconds: 10_500,
    /** How often a member renews its lease from the leader. */
    memberRenewalIntervalMilliseconds: 2_500,
} as const;
