/*
 * Keeps what an entry process uses of the quotas of workspaces, and compares it with each new document.
 */
import { WorkspaceQuota } from "../documents";
import { CounterName, Metrics } from "../metrics";
import { RefusalReason } from "../protocol";
import { Clock } from "../runtime";
import { createQuotaAccount } from "./createQuotaAccount";
import { QuotaAccount } from "./QuotaAccount";
import { QuotaBounds } from "./QuotaBounds";
import { quotaTiming } from "./quotaTiming";
import { WorkspaceUse } from "./WorkspaceUse";

interface WorkspaceUsesOptions {
    getQuotas(): ReadonlyMap<string, WorkspaceQuota>;
    getDebtLimit(workspace: string): number | undefined;
    /** Gets the delay after which a charged request may be sent, where an amount is missing. */
    getDelay(use: WorkspaceUse, reason: RefusalReason, missingAmount: number): number;
    bounds: QuotaBounds;
    clock: Clock;
    metrics: Metrics;
}

/**
 * Creates the uses of a process that has used nothing yet.
 * @param options - The quotas in force, the debt limits and the clock.
 */
export function createWorkspaceUses(options: WorkspaceUsesOptions) {
    const { getQuotas, getDebtLimit, getDelay, bounds, clock, metrics } = options;
    /**
     * How long after a lowered quota is known here the amounts are valid that were charged before. It binds one window after it
     * came into force, which this process knows within the time for which its contact is valid.
     */
    const loweringMilliseconds = Math.max(0, bounds.windowMilliseconds - quotaTiming.contact);
    const uses = new Map<string, WorkspaceUse>();
    /** The accounts of removed quotas and former units, until what was charged to them has lapsed. */
    let retiredAccounts: readonly { account: QuotaAccount; lapseMilliseconds: number; }[] = [];
    let accountCount = 0;
    return { getOrAdd, get: (workspace: string) => uses.get(workspace), getAll: () => [...uses], update, lapseAll };

    function getOrAdd(workspace: string, quota: WorkspaceQuota): WorkspaceUse {
        updateOne(workspace, quota);
        const known = uses.get(workspace);
        if (known) {
            return known;
        }
        accountCount += 1;
        const use: WorkspaceUse = {
            account: createQuotaAccount({
                getDebtLimit: () => getUseDebtLimit(workspace, use),
                getRetryAfterMilliseconds: (...parameters) => getDelay(use, ...parameters),
                onRefund: () => metrics.addCount(CounterName.QuotaRefunds),
                clock,
            }),
            accountNumber: accountCount,
            quota,
            isRetired: false,
            waiters: [],
            exhaustedUntilMilliseconds: 0,
            exhaustedAmount: 0,
            pausedUntilMilliseconds: 0,
            unansweredUntilMilliseconds: 0,
            useMilliseconds: 0,
        };
        uses.set(workspace, use);
        return use;
    }

    function getUseDebtLimit(workspace: string, { isRetired }: WorkspaceUse): number | undefined {
        const limit = getDebtLimit(workspace);
        return isRetired && limit !== undefined && limit !== Infinity ? 0 : limit;
    }

    /** Compares a use with the quota in force: undefined where there is none any more. */
    function updateOne(workspace: string, quota: WorkspaceQuota | undefined): void {
        const use = uses.get(workspace);
        if (!use || use.quota === quota) {
            return;
        }
        const { quota: formerQuota } = use;
        const isRetired = quota?.unit !== formerQuota.unit;
        const lapseMilliseconds = clock.getMonotonicMilliseconds() + loweringMilliseconds;
        if (isRetired || quota.amountPerSecond < formerQuota.amountPerSecond || quota.burst < formerQuota.burst) {
            use.account.lapseAt(lapseMilliseconds);
        }
        use.pausedUntilMilliseconds = 0;
        use.exhaustedUntilMilliseconds = 0;
        use.exhaustedAmount = 0;
        use.quota = quota ?? formerQuota;
        if (isRetired) {
            use.isRetired = true;
            retiredAccounts = [...retiredAccounts, { account: use.account, lapseMilliseconds }];
            uses.delete(workspace);
            use.waiters.splice(0).forEach(({ resolve }) => resolve({ kind: quota ? "unitChanged" : "unlimited" }));
        }
    }

    /** Compares all uses with the quotas in force. */
    function update(): void {
        const now = clock.getMonotonicMilliseconds();
        if (retiredAccounts.length > 0) {
            retiredAccounts = retiredAccounts.filter(({ lapseMilliseconds }) => lapseMilliseconds > now);
        }
        const quotas = getQuotas();
        [...uses.keys()].forEach(workspace => updateOne(workspace, quotas.get(workspace)));
    }

    function lapseAll(): void {
        [...uses.values(), ...retiredAccounts].forEach(({ account }) => account.lapse());
    }
}
