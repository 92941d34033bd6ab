/*
 * What an entry process may use of a quota before it is granted: an equal part of what all of them may.
 */
import { WorkspaceQuota } from "../documents";
import { FeedState } from "../feed";
import { Clock } from "../runtime";
import { createRecentMaximum } from "./createRecentMaximum";
import { getQuotaTolerance } from "./getQuotaTolerance";
import { QuotaBounds } from "./QuotaBounds";
import { quotaShares } from "./quotaShares";
import { quotaTiming } from "./quotaTiming";

/**
 * How long a contact with control lasts until there is a debt limit, in windows. What a former run of the process used is
 * outside any window with the new debts by then.
 */
const windowsUntilDebt = 1.1;
/**
 * How long others may use debt limits that they have divided by an earlier number of entry processes, in milliseconds, with the
 * delay of a poll. Only after that and another window is there a debt limit.
 */
const divisionMilliseconds = quotaTiming.contact + 500;
/**
 * How much longer than a window the debt limit is divided by a former number of entry processes, in milliseconds. A process that
 * stopped has used debts in the same window, and a new leader doesn't name it.
 */
const entryCountMilliseconds = 10_000;

interface DebtLimitsOptions {
    getQuotas(): ReadonlyMap<string, WorkspaceQuota>;
    state: Pick<FeedState, "getEntryCount" | "getContactStartMilliseconds" | "getDocumentAgeMilliseconds">;
    bounds: QuotaBounds;
    clock: Clock;
}

/**
 * Creates the debt limits of an entry process.
 * @param options - The quotas, and the contact with control.
 */
export function createDebtLimits({ getQuotas, state, bounds, clock }: DebtLimitsOptions) {
    const youngMilliseconds = Math.max(
        windowsUntilDebt * bounds.windowMilliseconds,
        bounds.windowMilliseconds + divisionMilliseconds,
    );
    const entryCounts = createRecentMaximum(bounds.windowMilliseconds + entryCountMilliseconds, clock);
    return { isInContact, getDebtLimit, recordEntryCount: () => entryCounts.record(state.getEntryCount()) };

    /** Returns whether the last poll that was answered is so recent that credit and debts may be used. */
    function isInContact(): boolean {
        return state.getDocumentAgeMilliseconds() <= quotaTiming.contact;
    }

    /** Gets the limit of a workspace: undefined without contact, and Infinity where there is no quota any more. */
    function getDebtLimit(workspace: string): number | undefined {
        const quota = getQuotas().get(workspace);
        if (!quota || !isInContact()) {
            return quota ? undefined : Infinity;
        }
        const startMilliseconds = state.getContactStartMilliseconds() ?? Infinity;
        return clock.getMonotonicMilliseconds() - startMilliseconds >= youngMilliseconds
            ? quotaShares.debt * getQuotaTolerance(quota, bounds) / Math.max(entryCounts.get(), state.getEntryCount())
            : 0;
    }
}
