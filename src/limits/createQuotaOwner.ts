/*
 * Leases limits to processes. A rate is a token bucket that starts empty: an owner that takes over without the state of
 * its predecessor grants no more than the rate, so the limit is exceeded by at most what the predecessor had leased.
 * Slots for requests in flight are leased as a total: a holder renews those it uses, and a lease that isn't renewed
 * expires.
 */
import { LRUCache } from "lru-cache";
import { createTokenBucket } from "./createTokenBucket";
import { parseQuotaName } from "./parseQuotaName";
import { QuotaGrantAmount } from "./QuotaGrantAmount";
import { QuotaKind } from "./QuotaKind";
import { QuotaOwner } from "./QuotaOwner";
import { QuotaOwnerOptions } from "./QuotaOwnerOptions";
import { TokenBucket } from "./TokenBucket";

const leaseDurationMilliseconds = 5_000;
const maximumQuotas = 100_000;
const secondsPerMinute = 60;
/** The capacity of a bucket of tokens, as the time in which it refills. */
const tokenBurstSeconds = 6;

/** What one holder has leased of a quota. */
interface Lease {
    amount: number;
    expiresMilliseconds: number;
}

interface QuotaState {
    /** The bucket of a rate; undefined for requests in flight. */
    bucket: TokenBucket | undefined;
    /** The leases by holder. */
    leases: Map<string, Lease>;
}

/** Creates an owner without leases. */
export function createQuotaOwner(options: QuotaOwnerOptions): QuotaOwner {
    const { clock, getLimits } = options;
    const quotas = new LRUCache<string, QuotaState>({ max: maximumQuotas });
    return { grant, getQuotaCount: () => quotas.size };

    function grant(
        holder: string,
        formattedName: string,
        inFlight: number,
        desired: number,
    ): QuotaGrantAmount | undefined {
        const name = parseQuotaName(formattedName);
        const limit = name && getLimits(name.level)?.[name.kind];
        if (name === undefined || limit === undefined) {
            return undefined;
        }
        const quota = getOrAddQuota(formattedName);
        removeExpiredLeases(quota);
        switch (name.kind) {
            case QuotaKind.RequestsPerSecond:
                return grantRate(quota, holder, desired, limit, limit);
            case QuotaKind.TokensPerMinute: {
                const perSecond = limit / secondsPerMinute;
                return grantRate(quota, holder, desired, perSecond, perSecond * tokenBurstSeconds);
            }
            case QuotaKind.ConcurrentRequests:
                return grantSlots(quota, holder, inFlight, desired, limit);
        }
    }

    /** Grants an amount of a rate, at most an equal share for each holder with a current lease. */
    function grantRate(
        quota: QuotaState,
        holder: string,
        desired: number,
        refillPerSecond: number,
        capacity: number,
    ): QuotaGrantAmount {
        quota.bucket ??= createTokenBucket(clock);
        const available = Math.floor(quota.bucket.getAvailable(refillPerSecond, Math.max(1, capacity)));
        const otherHolders = quota.leases.has(holder) ? quota.leases.size - 1 : quota.leases.size;
        const granted = Math.max(0, Math.min(desired, Math.ceil(available / (1 + otherHolders))));
        quota.bucket.take(granted);
        addLease(quota, holder, granted);
        return { granted, validMilliseconds: leaseDurationMilliseconds, refillPerSecond };
    }

    /** Grants slots for requests in flight: those in use are kept, and the free ones are shared among the holders. */
    function grantSlots(
        quota: QuotaState,
        holder: string,
        inFlight: number,
        desired: number,
        limit: number,
    ): QuotaGrantAmount {
        quota.leases.delete(holder);
        let leasedSlots = 0;
        for (const lease of quota.leases.values()) {
            leasedSlots += lease.amount;
        }
        const freeSlots = Math.max(0, limit - leasedSlots);
        const fairShare = Math.ceil((freeSlots - inFlight) / (1 + quota.leases.size));
        const granted = Math.max(0, Math.min(desired, freeSlots, inFlight + Math.max(0, fairShare)));
        addLease(quota, holder, Math.max(granted, inFlight));
        return { granted, validMilliseconds: leaseDurationMilliseconds, refillPerSecond: 0 };
    }

    function addLease(quota: QuotaState, holder: string, amount: number): void {
        const expiresMilliseconds = clock.getMonotonicMilliseconds() + leaseDurationMilliseconds;
        quota.leases.set(holder, { amount, expiresMilliseconds });
    }

    function removeExpiredLeases(quota: QuotaState): void {
        const now = clock.getMonotonicMilliseconds();
        for (const [holder, lease] of quota.leases) {
            if (lease.expiresMilliseconds <= now) {
                quota.leases.delete(holder);
            }
        }
    }

    function getOrAddQuota(formattedName: string): QuotaState {
        const existing = quotas.get(formattedName);
        const quota = existing ?? { bucket: undefined, leases: new Map() };
        if (existing === undefined) {
            quotas.set(formattedName, quota);
        }
        return quota;
    }
}
