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
    state: ChargeState;
    sentMilliseconds: number;
}

/**
 * Creates an empty account.
 * @param getDebtLimit - Gets what may be used beyond the grants; undefined where neither credit nor debts may be used, since the
 * last contact with the leader is too old.
 * @param clock - Measures the time since requests were sent.
 * @param onRefund - Called after the amount of a request was refunded.
 */
export function createQuotaAccount(
    getDebtLimit: () => number | undefined,
    clock: Clock,
    onRefund: () => void = () => undefined,
): QuotaAccount {
    /** The charges that can still be refunded. */
    const openCharges = new Set<ChargeRecord>();
    let granted = 0;
    let charged = 0;
    let settled = 0;
    return {
        tryCharge,
        setGranted: amount => granted = Math.max(granted, amount),
        getDebt: () => charged - granted,
        isBalanced: () => granted === charged && charged === settled,
        writeOffCredit,
        lapse,
        createReport,
    };

    function tryCharge(amount: number): QuotaCharge | undefined {
        if (!fits(amount)) {
            return undefined;
        }
        charged += amount;
        const charge = { amount, state: ChargeState.Pending, sentMilliseconds: 0 };
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

    /** Checks again what was checked at admission: the request may have waited, and the debt limit may be lower by now. */
    function prepareSending(charge: ChargeRecord): RefusalReason | undefined {
        if (getDebtLimit() === undefined) {
            return RefusalReason.STALE_SETTINGS;
        }
        if (charge.state === ChargeState.Settled) {
            if (!fits(charge.amount)) {
                return RefusalReason.QUOTA_EXCEEDED;
            }
            charged += charge.amount;
        }
        openCharges.add(charge);
        charge.state = ChargeState.Pending;
        return charged - granted > getDebtLimit()! ? RefusalReason.QUOTA_EXCEEDED : undefined;
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
            onRefund();
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

    function createReport() {
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
