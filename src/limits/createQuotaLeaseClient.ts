/*
 * The leases of one process. Taking an amount is local arithmetic; a lease that runs low is renewed in the background.
 * Before the first grant, a process may use one lease amount on credit, and no more until grants have repaid the debt,
 * so it never exceeds its grants by more than one lease and one request. While the owner is unresponsive, the process
 * continues at the rate of its last grants, so that the loss of an owner doesn't interrupt service.
 */
import { createQuotaLease } from "./createQuotaLease";
import { formatQuotaName } from "./formatQuotaName";
import { getLeaseAmount } from "./getLeaseAmount";
import { getRefillMilliseconds } from "./getRefillMilliseconds";
import { QuotaCheckOutcome } from "./QuotaCheckOutcome";
import { QuotaKind } from "./QuotaKind";
import { QuotaLease } from "./QuotaLease";
import { QuotaLeaseClient } from "./QuotaLeaseClient";
import { QuotaLeaseClientOptions } from "./QuotaLeaseClientOptions";
import { QuotaName } from "./QuotaName";

const minimumRequestIntervalMilliseconds = 100;
const renewalIntervalMilliseconds = 1_000;
/** The time without use after which a lease is removed. */
const maximumIdleMilliseconds = 60_000;
/** The retry delay of a refusal for lack of slots. */
const slotRetryAfterMilliseconds = 1_000;
/** The number of slots to request beyond those in use. */
const spareSlots = 2;
/** The age of an unanswered request from which the owner counts as unresponsive. */
const ownerTimeoutMilliseconds = 2_000;
/** The weight of the newest grant in the moving average of the granted rate. */
const rateSmoothingFactor = 0.3;

/** Creates a client without leases and starts renewing them periodically. */
export function createQuotaLeaseClient(options: QuotaLeaseClientOptions): QuotaLeaseClient {
    const { clock, requestQuota } = options;
    const leases = new Map<string, QuotaLease>();
    const abortController = new AbortController();
    const renewal = renewLeases();
    return { check, take, refund, addGrant, stop };

    function check(name: QuotaName, limit: number, amount: number): QuotaCheckOutcome {
        const lease = getOrAddLease(name, limit);
        voidExpiredGrant(lease);
        accrueAtLastRate(lease);
        const isEnough = name.kind === QuotaKind.ConcurrentRequests
            ? lease.inFlight < getUsableSlots(lease)
            : canSpend(lease, amount);
        if (isEnough) {
            return { kind: "available" };
        }
        requestMore(lease, amount);
        const retryAfterMilliseconds = name.kind === QuotaKind.ConcurrentRequests
            ? slotRetryAfterMilliseconds
            : getRefillMilliseconds(name.kind, limit, Math.max(1, amount - lease.balance));
        return { kind: "refused", retryAfterMilliseconds };
    }

    function take(name: QuotaName, limit: number, amount: number): void {
        const lease = getOrAddLease(name, limit);
        lease.lastUseMilliseconds = clock.getMonotonicMilliseconds();
        if (name.kind === QuotaKind.ConcurrentRequests) {
            lease.inFlight += 1;
        }
        else {
            lease.balance -= amount;
        }
        requestMore(lease, 0);
    }

    function refund(name: QuotaName, amount: number): void {
        const lease = leases.get(formatQuotaName(name));
        if (lease === undefined) {
            return;
        }
        if (name.kind === QuotaKind.ConcurrentRequests) {
            lease.inFlight = Math.max(0, lease.inFlight - 1);
            return;
        }
        lease.balance += amount;
    }

    function addGrant(formattedName: string, granted: number, validMilliseconds: number): void {
        const lease = leases.get(formattedName);
        if (lease === undefined) {
            return;
        }
        voidExpiredGrant(lease);
        const now = clock.getMonotonicMilliseconds();
        lease.hasGrant = true;
        lease.unansweredSinceMilliseconds = undefined;
        lease.expiresMilliseconds = now + validMilliseconds;
        if (lease.name.kind === QuotaKind.ConcurrentRequests) {
            lease.grantedSlots = granted;
        }
        else {
            lease.balance += granted;
            const observedPerMillisecond = granted
                / Math.max(minimumRequestIntervalMilliseconds, now - lease.lastGrantMilliseconds);
            lease.grantedPerMillisecond += rateSmoothingFactor * (observedPerMillisecond - lease.grantedPerMillisecond);
            lease.lastGrantMilliseconds = now;
        }
    }

    async function stop(): Promise<void> {
        abortController.abort();
        await renewal;
    }

    /**
     * Tells whether an amount of a rate may be taken from the balance, or from the credit before the first grant. An
     * amount larger than a lease may be taken whenever anything is available.
     */
    function canSpend(lease: QuotaLease, amount: number): boolean {
        const credit = lease.hasGrant ? 0 : getLeaseAmount(lease.name.kind, lease.limit);
        const available = lease.balance + credit;
        const isLargerThanLease = amount > getLeaseAmount(lease.name.kind, lease.limit);
        return available >= amount || (isLargerThanLease && available > 0);
    }

    function getUsableSlots(lease: QuotaLease): number {
        return lease.hasGrant ? lease.grantedSlots : Math.min(1, lease.limit);
    }

    /** Requests more from the owner where a lease runs low, at most once in each minimum interval. */
    function requestMore(lease: QuotaLease, amount: number): void {
        const now = clock.getMonotonicMilliseconds();
        const leaseAmount = getLeaseAmount(lease.name.kind, lease.limit);
        const isLow = lease.name.kind === QuotaKind.ConcurrentRequests
            ? lease.inFlight >= lease.grantedSlots
            : lease.balance < Math.max(amount, leaseAmount / 2);
        if (!isLow || now - lease.lastRequestMilliseconds < minimumRequestIntervalMilliseconds) {
            return;
        }
        lease.lastRequestMilliseconds = now;
        lease.unansweredSinceMilliseconds ??= now;
        const desired = lease.name.kind === QuotaKind.ConcurrentRequests
            ? lease.inFlight + spareSlots
            : Math.ceil(Math.max(amount, leaseAmount) - lease.balance);
        requestQuota(formatQuotaName(lease.name), lease.inFlight, desired);
    }

    /** Removes the unused amount of an expired grant, unless the owner is unresponsive; a debt remains. */
    function voidExpiredGrant(lease: QuotaLease): void {
        if (clock.getMonotonicMilliseconds() < lease.expiresMilliseconds || isOwnerUnresponsive(lease)) {
            return;
        }
        lease.balance = Math.min(0, lease.balance);
        lease.grantedSlots = 0;
    }

    /** Tells whether a request to the owner has been unanswered for the timeout. */
    function isOwnerUnresponsive(lease: QuotaLease): boolean {
        const sinceMilliseconds = lease.unansweredSinceMilliseconds;
        return sinceMilliseconds !== undefined
            && clock.getMonotonicMilliseconds() - sinceMilliseconds >= ownerTimeoutMilliseconds;
    }

    /** Credits a rate while its owner is unresponsive, at the average rate of earlier grants and up to one lease. */
    function accrueAtLastRate(lease: QuotaLease): void {
        if (!isOwnerUnresponsive(lease) || lease.name.kind === QuotaKind.ConcurrentRequests) {
            return;
        }
        const now = clock.getMonotonicMilliseconds();
        const accrued = lease.grantedPerMillisecond * (now - lease.lastGrantMilliseconds);
        const headroom = getLeaseAmount(lease.name.kind, lease.limit) - lease.balance;
        lease.balance += Math.max(0, Math.min(accrued, headroom));
        lease.lastGrantMilliseconds = now;
    }

    /** Periodically renews leases with slots in use, requests grants to repay debts, and removes idle leases. */
    async function renewLeases(): Promise<void> {
        while (!abortController.signal.aborted) {
            await clock.sleep(renewalIntervalMilliseconds, abortController.signal);
            if (abortController.signal.aborted) {
                return;
            }
            leases.forEach(renew);
        }
    }

    function renew(lease: QuotaLease, formattedName: string): void {
        voidExpiredGrant(lease);
        const idleMilliseconds = clock.getMonotonicMilliseconds() - lease.lastUseMilliseconds;
        if (lease.inFlight === 0 && lease.balance >= 0 && idleMilliseconds > maximumIdleMilliseconds) {
            leases.delete(formattedName);
        }
        else if (lease.inFlight > 0) {
            lease.lastRequestMilliseconds = clock.getMonotonicMilliseconds();
            lease.unansweredSinceMilliseconds ??= lease.lastRequestMilliseconds;
            requestQuota(formattedName, lease.inFlight, lease.inFlight + spareSlots);
        }
        else if (lease.balance < 0) {
            requestMore(lease, 0);
        }
    }

    function getOrAddLease(name: QuotaName, limit: number): QuotaLease {
        const formattedName = formatQuotaName(name);
        const lease = leases.get(formattedName) ?? createQuotaLease(name, clock.getMonotonicMilliseconds());
        lease.limit = limit;
        leases.set(formattedName, lease);
        return lease;
    }
}
