/*
 * The state of one lease in the process that holds it.
 */
import { QuotaName } from "./QuotaName";

/** The part of one limit that a process holds. */
export interface QuotaLease {
    /** The limit's name. */
    name: QuotaName;
    /** The limit's value in the settings. */
    limit: number;
    /** The remaining amount of a rate; negative where more was used than granted. */
    balance: number;
    /** The granted number of requests in flight. */
    grantedSlots: number;
    /** The current number of requests in flight. */
    inFlight: number;
    /** Whether the owner has ever sent a grant. */
    hasGrant: boolean;
    /** The moving average of the amount granted per millisecond, for rates. */
    grantedPerMillisecond: number;
    /**
     * When an amount of a rate was last added to the balance, by the owner or while the owner was unresponsive, on the
     * monotonic clock.
     */
    lastGrantMilliseconds: number;
    /** Since when a request to the owner is unanswered, on the monotonic clock; undefined where none is. */
    unansweredSinceMilliseconds: number | undefined;
    /** When the granted amount expires, on the monotonic clock. */
    expiresMilliseconds: number;
    /** When the last request was sent to the owner, on the monotonic clock. */
    lastRequestMilliseconds: number;
    /** When an amount was last taken, on the monotonic clock. */
    lastUseMilliseconds: number;
}
