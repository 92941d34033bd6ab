/*
 * Admits requests within the quotas of their workspaces, at an entry process. Load condition: callers of one workspace send
 * more, through all entry processes together, than the workspace may use.
 *
 * Most requests need no message: their amount becomes a debt, which is reported with the next poll and repaid by the next
 * grant. A request beyond the debt limit asks the leader at once, and waits for the answer of one poll.
 */
import { create } from "@bufbuild/protobuf";
import { QuotaUnit, WorkspaceQuota } from "../documents";
import { CounterName, GaugeName } from "../metrics";
import { PollRequest, PollResponse, RefusalReason, WorkspaceUsageSchema } from "../protocol";
import { waitWithTimeout } from "../runtime";
import { createDebtLimits } from "./createDebtLimits";
import { createQuotaDelays } from "./createQuotaDelays";
import { createQuotaView } from "./createQuotaView";
import { createWorkspaceUses } from "./createWorkspaceUses";
import { QuotaDecision } from "./QuotaDecision";
import { QuotaRequest } from "./QuotaRequest";
import { quotaTiming } from "./quotaTiming";
import { QuotaWaitEnd } from "./QuotaWaitEnd";
import { QuotaWaiter } from "./QuotaWaiter";
import { WorkspaceQuotas } from "./WorkspaceQuotas";
import { WorkspaceQuotasOptions } from "./WorkspaceQuotasOptions";
import { WorkspaceUse } from "./WorkspaceUse";

/** How long a request waits for a grant at most, in milliseconds: an urgent poll with a slow read barrier. */
const maximumWaitMilliseconds = 300;
/** The maximum share of its caller's time for which a request waits, so that the caller has time left to retry. */
const waitShareOfTime = 0.1;
/** How long other requests don't wait after one has waited in vain, in milliseconds. */
const unansweredPauseMilliseconds = 500;
/** The shortest time after which requests of a workspace that has used up its quota ask again, in milliseconds. */
const minimumPauseMilliseconds = 100;
/** The longest such time: others may use less than the leader expected, or the quota may be raised. */
const maximumPauseMilliseconds = 1_000;
/** The maximum number of waiting requests of a workspace that one poll reports; the others are reported by the next one. */
const maximumReportedWaiters = 64;

/**
 * Creates the quotas of an entry process.
 * @param options - The state of the process, and the bound of the quotas.
 */
export function createWorkspaceQuotas(options: WorkspaceQuotasOptions): WorkspaceQuotas {
    const { state, clock, random, metrics } = options;
    const getQuotas = createQuotaView(() => state.getRouteTable()?.document);
    const { isInContact, getDebtLimit, recordEntryCount } = createDebtLimits({ ...options, getQuotas });
    const delays = createQuotaDelays(clock, random);
    const uses = createWorkspaceUses({ ...options, getQuotas, getDebtLimit, getDelay: delays.getDelayAfterCharge });
    const urgentListeners = new Set<() => void>();
    metrics.addGauge(
        GaugeName.QuotaDebt,
        () => uses.getAll().reduce((largest, [, { account }]) => Math.max(largest, account.getDebt()), 0),
    );
    return { admit, createPollFields, prepareResponse, readResponse, addUrgentListener };

    function admit(request: QuotaRequest): QuotaDecision | Promise<QuotaDecision> {
        const quota = getQuotas().get(request.workspace);
        const amount = quota ? getAmount(quota, request) : 0;
        if (!quota || amount === 0) {
            return { kind: "admitted", charge: undefined };
        }
        const use = uses.getOrAdd(request.workspace, quota);
        const now = clock.getMonotonicMilliseconds();
        use.useMilliseconds = now;
        const charge = use.account.tryCharge(amount);
        if (charge) {
            metrics.addCount(CounterName.QuotaAdmissionsAtOnce);
            return { kind: "admitted", charge };
        }
        if (now < use.pausedUntilMilliseconds && amount >= use.exhaustedAmount) {
            return refuse(request, use, amount, RefusalReason.QUOTA_EXCEEDED);
        }
        return now < use.unansweredUntilMilliseconds
            ? refuse(request, use, amount, RefusalReason.STALE_SETTINGS)
            : waitForGrant(request, use, amount);
    }

    async function waitForGrant(request: QuotaRequest, use: WorkspaceUse, amount: number): Promise<QuotaDecision> {
        const startMilliseconds = clock.getMonotonicMilliseconds();
        const timeoutMilliseconds = Math.min(maximumWaitMilliseconds, waitShareOfTime * request.remainingMilliseconds);
        let resolve: (end: QuotaWaitEnd) => void = () => undefined;
        const ended = new Promise<QuotaWaitEnd>(resolveEnd => resolve = resolveEnd);
        const waiter: QuotaWaiter = { amount, isReported: false, resolve };
        use.waiters.push(waiter);
        metrics.addCount(CounterName.QuotaWaits);
        urgentListeners.forEach(listener => listener());
        const end = await waitWithTimeout(clock, ended, timeoutMilliseconds, request.signal);
        // A grant that arrived together with the timeout was charged by then.
        const isRemoved = removeWaiter(use, waiter);
        const lastEnd = end ?? (isRemoved ? undefined : await ended);
        const waitedMilliseconds = Math.round(clock.getMonotonicMilliseconds() - startMilliseconds);
        if (lastEnd?.kind === "charged" || lastEnd?.kind === "unlimited") {
            request.logger.info({ ...getLogFields(request, use, amount), waitedMilliseconds }, "quota granted");
            return { kind: "admitted", charge: lastEnd.kind === "charged" ? lastEnd.charge : undefined };
        }
        if (lastEnd?.kind === "unitChanged") {
            return admit({
                ...request,
                remainingMilliseconds: request.remainingMilliseconds - waitedMilliseconds,
            });
        }
        if (lastEnd?.kind === "exhausted") {
            return refuse(request, use, amount, RefusalReason.QUOTA_EXCEEDED);
        }
        if (timeoutMilliseconds >= maximumWaitMilliseconds && !request.signal.aborted) {
            use.unansweredUntilMilliseconds = clock.getMonotonicMilliseconds() + unansweredPauseMilliseconds;
        }
        return refuse(request, use, amount, RefusalReason.STALE_SETTINGS);
    }

    function removeWaiter(use: WorkspaceUse, waiter: QuotaWaiter): boolean {
        const index = use.waiters.indexOf(waiter);
        if (index >= 0) {
            use.waiters.splice(index, 1);
        }
        return index >= 0;
    }

    function refuse(request: QuotaRequest, use: WorkspaceUse, amount: number, reason: RefusalReason): QuotaDecision {
        const retryAfterMilliseconds = delays.getDelayBeforeCharge(use, reason, amount);
        const logFields = { ...getLogFields(request, use, amount), retryAfterMilliseconds };
        return { kind: "refused", reason, retryAfterMilliseconds, logFields };
    }

    function getLogFields({ workspace }: QuotaRequest, { account, waiters }: WorkspaceUse, amount: number) {
        return {
            workspace,
            amount,
            debt: account.getDebt(),
            debtLimit: getDebtLimit(workspace),
            waitingCount: waiters.length,
            entryCount: state.getEntryCount(),
            ageMilliseconds: Math.round(state.getDocumentAgeMilliseconds()),
        };
    }

    function createPollFields(): Partial<Pick<PollRequest, "quotaReporter" | "workspaceUsages">> {
        uses.update();
        const now = clock.getMonotonicMilliseconds();
        const workspaceUsages = uses.getAll().flatMap(([workspace, use]) =>
            isReported(use, now) ? [createUsage(workspace, use, now)] : []
        );
        return workspaceUsages.length > 0 ? { quotaReporter: options.reporter, workspaceUsages } : {};
    }

    function isReported({ account, waiters, useMilliseconds }: WorkspaceUse, now: number): boolean {
        return !account.isBalanced() || waiters.length > 0 || now - useMilliseconds < quotaTiming.unusedAccount;
    }

    function createUsage(workspace: string, use: WorkspaceUse, now: number) {
        const { account, accountNumber, waiters, useMilliseconds } = use;
        if (!isInContact()) {
            account.lapse();
        }
        else if (waiters.length === 0 && now - useMilliseconds >= quotaTiming.unusedCredit) {
            account.writeOffCredit();
        }
        const reportedWaiters = waiters.slice(0, maximumReportedWaiters);
        reportedWaiters.forEach(waiter => waiter.isReported = true);
        return create(WorkspaceUsageSchema, {
            workspace,
            account: accountNumber,
            countsTokens: use.quota.unit === QuotaUnit.Tokens,
            ...account.createReport(),
            waiting: reportedWaiters.map(({ amount }) => amount),
        });
    }

    /** Lapses before a response renews the contact: the leader no longer counts what was granted before that. */
    function prepareResponse(): void {
        if (!isInContact()) {
            uses.lapseAll();
        }
    }

    function readResponse({ workspaceGrants }: PollResponse): void {
        recordEntryCount();
        uses.update();
        for (const { workspace, account: accountNumber, granted, waitMilliseconds } of workspaceGrants) {
            const use = uses.get(workspace);
            if (use && use.accountNumber === accountNumber) {
                use.account.setGranted(granted);
                use.unansweredUntilMilliseconds = 0;
                admitWaiters(use);
                if (waitMilliseconds > 0) {
                    refuseWaiters(use, waitMilliseconds);
                }
            }
        }
        if (uses.getAll().some(([, { waiters }]) => waiters.length > 0)) {
            urgentListeners.forEach(listener => listener());
        }
    }

    /** Admits the waiting requests that fit, in their order. */
    function admitWaiters(use: WorkspaceUse): void {
        for (const waiter of [...use.waiters]) {
            const charge = use.account.tryCharge(waiter.amount);
            if (charge) {
                removeWaiter(use, waiter);
                waiter.resolve({ kind: "charged", charge });
            }
        }
    }

    /** Refuses the waiting requests for which the bucket has too little, and those that need no less. */
    function refuseWaiters(use: WorkspaceUse, waitMilliseconds: number): void {
        const refusedAmounts = use.waiters.filter(({ isReported }) => isReported).map(({ amount }) => amount);
        if (refusedAmounts.length === 0) {
            return;
        }
        use.exhaustedAmount = Math.min(...refusedAmounts);
        const now = clock.getMonotonicMilliseconds();
        const pauseMilliseconds = Math.max(minimumPauseMilliseconds, waitMilliseconds);
        use.exhaustedUntilMilliseconds = now + pauseMilliseconds;
        use.pausedUntilMilliseconds = now + Math.min(pauseMilliseconds, maximumPauseMilliseconds);
        for (const waiter of use.waiters.filter(({ amount }) => amount >= use.exhaustedAmount)) {
            removeWaiter(use, waiter);
            waiter.resolve({ kind: "exhausted" });
        }
    }

    function addUrgentListener(listener: () => void): () => void {
        urgentListeners.add(listener);
        return () => urgentListeners.delete(listener);
    }
}

function getAmount({ unit, defaultRequestTokens }: WorkspaceQuota, { tokens }: QuotaRequest): number {
    return unit === QuotaUnit.Tokens ? tokens ?? defaultRequestTokens : 1;
}
