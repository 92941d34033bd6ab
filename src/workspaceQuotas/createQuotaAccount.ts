/*
 * Keeps the account of a workspace at an entry process. Load condition: callers of one workspace send more, through all entry
 * processes together, than the workspace may use.
 *
 * What is charged never exceeds what is granted plus the debt limit. A request counts as unused until it was sent for good:
 * the leader sees all that this process may still send, and a refund never takes back a use that was reported.
 */
import { RefusalReason } from "../protocol";
import { Clock } from "../runtime";
import { QuotaAccount } from "./QuotaAccount";
import { QuotaCharge } from "./QuotaCharge";
import { QuotaRefusal } from "./QuotaRefusal";
import { quotaTiming } from "./quotaTiming";

enum ChargeState {
    /** The amount is charged, and no attempt is in progress. */
    Pending,
    /** An attempt was sent a short time ago. */
    Sent,
    /** The amount counts as used; it can't be refunded. */
    Settled,
    Ended,
}

interface ChargeRecord {
    amount: number;
    /** What was charged when this was, inclusive. While that is granted, the charge is not part of a debt. */
    position: number;
    state: ChargeState;
    sentMilliseconds: number;
}

interface QuotaAccountOptions {
    /**
     * Gets what may be used beyond the grants; undefined where neither credit nor debts may be used, since the last contact
     * with the leader is too old.
     */
    getDebtLimit(): number | undefined;
    /** Gets the delay after which a request may be sent that was charged, in milliseconds, where an amount must be granted first. */
    getRetryAfterMilliseconds(reason: RefusalReason, missingAmount: number): number;
    /** Called after the amount of a request was refunded. */
    onRefund(): void;
    /** Measures the time since requests were sent. */
    clock: Clock;
}

/**
 * Creates an empty account.
 * @param options - The debt limit, the clock and what is called on changes.
 */
export function createQuotaAccount(options: QuotaAccountOptions): QuotaAccount {
    const { getDebtLimit, clock } = options;
    /** The charges that can still be refunded. */
    const openCharges = new Set<ChargeRecord>();
    let granted = 0;
    let charged = 0;
    let settled = 0;
    /** When the account lapses, in ascending order, on the monotonic clock. */
    let lapseTimes: readonly number[] = [];
    return {
        tryCharge,
        setGranted: amount => granted = Math.max(granted, amount),
        getDebt: () => charged - granted,
        isBalanced: () => granted === charged && charged === settled,
        writeOffCredit,
        lapse,
        lapseAt: milliseconds => lapseTimes = [...lapseTimes, milliseconds].sort((left, right) => left - right),
        createReport,
    };

    function tryCharge(amount: number): QuotaCharge | undefined {
        lapseIfDue();
        if (!fits(amount)) {
            return undefined;
        }
        charged += amount;
        const charge = { amount, position: charged, state: ChargeState.Pending, sentMilliseconds: 0 };
        openCharges.add(charge);
        return createCharge(charge);
    }

    function fits(amount: number): boolean {
        const debtLimit = getDebtLimit();
        return debtLimit !== undefined && charged + amount <= granted + debtLimit;
    }

    function createCharge(charge: ChargeRecord): QuotaCharge {
        return {
            prepareSending: hasRun => hasRun ? undefined : prepareSending(charge),
            recordSent: () => recordSent(charge),
            end: hasRun => end(charge, hasRun),
        };
    }

    /**
     * Checks again what was checked at admission: the request may have waited, and the debt limit may be lower by now. What was
     * granted is sent even if later charges exceed that limit.
     */
    function prepareSending(charge: ChargeRecord): QuotaRefusal | undefined {
        lapseIfDue();
        const debtLimit = getDebtLimit();
        if (charge.state === ChargeState.Ended) {
            return createRefusal(RefusalReason.QUOTA_EXCEEDED, charge.amount);
        }
        if (debtLimit === undefined) {
            return createRefusal(RefusalReason.STALE_SETTINGS, 0);
        }
        if (charge.state === ChargeState.Settled) {
            if (!fits(charge.amount)) {
                return createRefusal(RefusalReason.QUOTA_EXCEEDED, charged + charge.amount - granted - debtLimit);
            }
            charged += charge.amount;
            charge.position = charged;
        }
        openCharges.add(charge);
        charge.state = ChargeState.Pending;
        const missing = Math.min(charged, charge.position) - granted - debtLimit;
        return missing > 0 ? createRefusal(RefusalReason.QUOTA_EXCEEDED, missing) : undefined;
    }

    function createRefusal(reason: RefusalReason, missingAmount: number): QuotaRefusal {
        return { reason, retryAfterMilliseconds: options.getRetryAfterMilliseconds(reason, missingAmount) };
    }

    function recordSent(charge: ChargeRecord): void {
        if (charge.state === ChargeState.Pending) {
            charge.state = ChargeState.Sent;
            charge.sentMilliseconds = clock.getMonotonicMilliseconds();
        }
    }

    function end(charge: ChargeRecord, hasRun: boolean): void {
        const isOpen = charge.state === ChargeState.Pending || charge.state === ChargeState.Sent;
        openCharges.delete(charge);
        charge.state = ChargeState.Ended;
        if (isOpen && hasRun) {
            settled += charge.amount;
        }
        else if (isOpen) {
            charged -= charge.amount;
            options.onRefund();
        }
    }

    function writeOffCredit(): void {
        const credit = Math.max(0, granted - charged);
        charged += credit;
        settled += credit;
    }

    function lapse(): void {
        openCharges.forEach(charge => charge.state = ChargeState.Settled);
        openCharges.clear();
        charged = Math.max(charged, granted);
        settled = charged;
    }

    function lapseIfDue(): void {
        const now = clock.getMonotonicMilliseconds();
        if (lapseTimes.length > 0 && lapseTimes[0]! <= now) {
            lapseTimes = lapseTimes.filter(time => time > now);
            lapse();
        }
    }

    function createReport() {
        lapseIfDue();
        const oldestUnsettled = clock.getMonotonicMilliseconds() - quotaTiming.settlement;
        for (const charge of openCharges) {
            if (charge.state === ChargeState.Sent && charge.sentMilliseconds <= oldestUnsettled) {
                openCharges.delete(charge);
                charge.state = ChargeState.Settled;
                settled += charge.amount;
            }
        }
        return { granted, charged, settled };
    }
}
