/*
 * The initial state of a lease.
 */
import { QuotaLease } from "./QuotaLease";
import { QuotaName } from "./QuotaName";

/**
 * Creates a lease without a grant.
 * @param name - The limit's name.
 * @param nowMilliseconds - The current time on the monotonic clock.
 */
export function createQuotaLease(name: QuotaName, nowMilliseconds: number): QuotaLease {
    return {
        name,
        limit: 0,
        balance: 0,
        grantedSlots: 0,
        inFlight: 0,
        hasGrant: false,
        grantedPerMillisecond: 0,
        lastGrantMilliseconds: nowMilliseconds,
        unansweredSinceMilliseconds: undefined,
        expiresMilliseconds: nowMilliseconds,
        lastRequestMilliseconds: -Infinity,
        lastUseMilliseconds: nowMilliseconds,
    };
}
