/*
 * The times of leases. A member counts a lease from when it asked; the leader from when it answered, and for longer, so
 * that it never believes a lease over that still runs.
 */

/** The times of leases, in milliseconds. */
export const leaseTimes = {
    /** How long a lease runs from when it was asked for. */
    leaseMilliseconds: 10_000,
    /** How long the leader counts a lease from when it gave it; covers clocks that run at different rates. */
    assumedLeaseMilliseconds: 10_500,
    /** How often a member asks the leader for its lease. */
    memberRenewalIntervalMilliseconds: 2_500,
} as const;
