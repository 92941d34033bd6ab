/*
 * One lease of a process.
 */
import { QuotaName } from "./QuotaName";

/** What a process holds of one limit. */
export interface QuotaLease {
    /** The limit's name. */
    name: QuotaName;
    /** The limit as settings have it. */
    limit: number;
    /** What is left to spend of a rate; negative where more was spent than was granted. */
    balance: number;
    /** How many requests in flight are granted. */
    grantedSlots: number;
    /** How many requests are in flight. */
    inFlight: number;
    /** Whether the owner has ever granted anything. */
    hasGrant: boolean;
    /** What was granted a millisecond on average lately, where the limit is a rate. */
    grantedPerMillisecond: number;
    /** When the latest grant came, or was made up for a silent owner, on the monotonic clock. */
    lastGrantMilliseconds: number;
    /** Since when the owner owes an answer, on the monotonic clock; undefined where it does not. */
    unansweredSinceMilliseconds: number | undefined;
    /** When what is granted is void, on the monotonic clock. */
    expiresMilliseconds: number;
    /** When the owner was last asked, on the monotonic clock. */
    lastRequestMilliseconds: number;
    /** When the lease was last used, on the monotonic clock. */
    lastUseMilliseconds: number;
}
