/*
 * Keeps the token bucket of one workspace at the leader. Load condition: callers of one workspace send more, through all
 * entry processes together, than the workspace may use.
 *
 * The bucket and what is granted and unused never exceed the burst and the share for credit together. Whatever is sent in a
 * window was in one of both at its begin, or is refill, or a debt.
 */
import { QuotaUnit, WorkspaceQuota } from "../documents";
import { WorkspaceGrant, WorkspaceUsage } from "../protocol";
import { Clock } from "../runtime";
import { createRecentMaximum } from "./createRecentMaximum";
import { getLargestRequest } from "./getLargestRequest";
import { getQuotaTolerance } from "./getQuotaTolerance";
import { QuotaBounds } from "./QuotaBounds";
import { quotaShares } from "./quotaShares";
import { quotaTiming } from "./quotaTiming";
import { WorkspaceLedger } from "./WorkspaceLedger";

const millisecondsPerSecond = 1_000;
/** The share of an amount that may be missing because of rounding errors. */
const roundingShare = 1e-9;
/** How often accounts that are not reported any longer are looked for, in milliseconds. */
const removalIntervalMilliseconds = 250;

/** The account of an entry process. */
interface LedgerAccount {
    granted: number;
    charged: number;
    settled: number;
    waiting: readonly number[];
    /** What was granted and unused when it was reported first to this ledger; another leader may have granted it. */
    formerOutstanding: number;
    reportMilliseconds: number;
}

interface WorkspaceLedgerOptions {
    quota: WorkspaceQuota;
    bounds: QuotaBounds;
    /** When the leader's term began, on the monotonic clock, in milliseconds. */
    termStartMilliseconds: number;
    clock: Clock;
}

/**
 * Creates a ledger with an empty bucket.
 * @param options - The quota, its bound and the clock.
 */
export function createWorkspaceLedger(options: WorkspaceLedgerOptions): WorkspaceLedger {
    const { bounds, termStartMilliseconds, clock } = options;
    const accounts = new Map<string, LedgerAccount>();
    let { quota } = options;
    let level = 0;
    let refillMilliseconds = clock.getMonotonicMilliseconds();
    let removalMilliseconds = refillMilliseconds;
    /** What is granted and unused over all accounts, and the part of it that was so before their first reports. */
    let outstanding = 0;
    let formerOutstanding = 0;
    /** What was in the bucket, or granted and unused; an overdraft adds to it in windows that began since. */
    const recentHoldings = createRecentMaximum(bounds.windowMilliseconds, clock);
    return { setQuota, recordUsage, grant, getOutstanding: () => outstanding };

    function setQuota(newQuota: WorkspaceQuota): void {
        refill();
        if (newQuota.unit !== quota.unit) {
            accounts.clear();
            [level, outstanding, formerOutstanding] = [0, 0, 0];
        }
        quota = newQuota;
        refill();
    }

    function recordUsage(reporter: string, usage: WorkspaceUsage): void {
        if (usage.countsTokens !== (quota.unit === QuotaUnit.Tokens)) {
            return;
        }
        const id = getAccountId(reporter, usage);
        const former = accounts.get(id);
        const account: LedgerAccount = {
            granted: Math.max(usage.granted, former?.granted ?? 0),
            charged: usage.charged,
            settled: Math.max(usage.settled, former?.settled ?? 0),
            waiting: usage.waiting,
            formerOutstanding: former?.formerOutstanding ?? getAccountOutstanding(usage),
            reportMilliseconds: clock.getMonotonicMilliseconds(),
        };
        outstanding += getAccountOutstanding(account) - (former ? getAccountOutstanding(former) : 0);
        formerOutstanding += former ? 0 : account.formerOutstanding;
        accounts.set(id, account);
        recentHoldings.record(level + outstanding);
    }

    function grant(reporter: string, usage: WorkspaceUsage): Pick<WorkspaceGrant, "granted" | "waitMilliseconds"> {
        const account = accounts.get(getAccountId(reporter, usage));
        if (!account) {
            return { granted: usage.granted, waitMilliseconds: 0 };
        }
        refill();
        const debt = Math.max(0, account.charged - account.granted);
        addGrant(account, Math.min(debt, Math.max(0, level)));
        let target = account.charged;
        let waitMilliseconds = Infinity;
        for (const amount of account.waiting) {
            const needed = target + amount - account.granted;
            if (needed > 0 && !fits(needed)) {
                waitMilliseconds = Math.min(waitMilliseconds, getWaitMilliseconds(needed));
                continue;
            }
            target += amount;
            addGrant(account, Math.max(0, needed));
        }
        return { granted: account.granted, waitMilliseconds: waitMilliseconds === Infinity ? 0 : waitMilliseconds };
    }

    /** Returns whether an amount can be granted. More than the burst can be only while the bucket is full. */
    function fits(amount: number): boolean {
        return amount <= level + getOverdraft()
            || amount > quota.burst && level >= getFullLevel() && amount <= level + getLargeOverdraft();
    }

    /** Gets the level from which the bucket counts as full, whatever the rounding errors. */
    function getFullLevel(): number {
        return quota.burst * (1 - roundingShare);
    }

    function addGrant(account: LedgerAccount, amount: number): void {
        const formerAccountOutstanding = getAccountOutstanding(account);
        level -= amount;
        account.granted += amount;
        outstanding += getAccountOutstanding(account) - formerAccountOutstanding;
    }

    /** Gets the time until the bucket can have an amount, if nothing else is granted meanwhile. */
    function getWaitMilliseconds(amount: number): number {
        const overdraft = getOverdraft();
        const isLarge = amount > quota.burst + overdraft;
        const missing = Math.max(0, isLarge ? quota.burst - level : amount - overdraft - level);
        const refillWait = Math.max(1, missing / quota.amountPerSecond * millisecondsPerSecond);
        if (isLarge && amount > quota.burst + getLargeOverdraft()) {
            return Math.max(refillWait, bounds.windowMilliseconds);
        }
        const isBeyondTerm = amount > quotaShares.newTerm * getQuotaTolerance(quota, bounds);
        return isBeyondTerm ? Math.max(refillWait, quotaTiming.accountLifetime - getTermMilliseconds()) : refillWait;
    }

    /**
     * Gets by how much the grants to waiting requests may exceed what is in the bucket: requests may be larger than the burst,
     * and part of what is in a full bucket may be on its way to repay debts. It must not share a window with the begin of a
     * term, for which another share of the tolerance is reserved.
     */
    function getOverdraft(): number {
        return getTermMilliseconds() >= quotaTiming.accountLifetime + bounds.windowMilliseconds
            ? quotaShares.overdraft * getQuotaTolerance(quota, bounds)
            : 0;
    }

    /**
     * Gets by how much a grant may exceed a full bucket: by the share for credit, as far as no credit of the window has used it.
     * So a window holds no more than it does with a full bucket and all the credit at its begin.
     */
    function getLargeOverdraft(): number {
        const isTermYoung = getTermMilliseconds() < quotaTiming.accountLifetime + bounds.windowMilliseconds;
        return isTermYoung ? 0 : getLargestRequest(quota, bounds) - Math.max(quota.burst, recentHoldings.get());
    }

    function refill(): void {
        const now = clock.getMonotonicMilliseconds();
        removeUnreported(now);
        const refilled = level + (now - refillMilliseconds) / millisecondsPerSecond * quota.amountPerSecond;
        // Nothing is refilled beyond the capacity, which is below 0 while an overdraft is granted and unused.
        level = Math.min(refilled, Math.max(getCapacity(), Math.min(level, 0)));
        refillMilliseconds = now;
        recentHoldings.record(level + outstanding);
    }

    function getCapacity(): number {
        const tolerance = getQuotaTolerance(quota, bounds);
        const capacity = Math.min(quota.burst, quota.burst + quotaShares.credit * tolerance - outstanding);
        // At the begin of a term, entry processes may hold credit that they have not reported to this leader.
        return getTermMilliseconds() >= quotaTiming.accountLifetime
            ? capacity
            : Math.min(capacity, quotaShares.newTerm * tolerance - (outstanding - formerOutstanding));
    }

    function getTermMilliseconds(): number {
        return clock.getMonotonicMilliseconds() - termStartMilliseconds;
    }

    /** Removes the accounts whose credit is no longer valid, and adds up the others anew, without rounding errors. */
    function removeUnreported(now: number): void {
        if (now - removalMilliseconds < removalIntervalMilliseconds) {
            return;
        }
        removalMilliseconds = now;
        outstanding = 0;
        formerOutstanding = 0;
        for (const [id, account] of accounts) {
            if (now - account.reportMilliseconds > quotaTiming.accountLifetime) {
                accounts.delete(id);
                continue;
            }
            outstanding += getAccountOutstanding(account);
            formerOutstanding += account.formerOutstanding;
        }
    }
}

function getAccountId(reporter: string, { account }: Pick<WorkspaceUsage, "account">): string {
    return `${reporter} ${account}`;
}

/** Gets what an entry process may still send without a debt. */
function getAccountOutstanding({ granted, settled }: Pick<WorkspaceUsage, "granted" | "settled">): number {
    return Math.max(0, granted - settled);
}
