/*
 * The leases that one process holds of limits that span processes.
 */
import { Stoppable } from "../runtime";
import { QuotaCheckOutcome } from "./QuotaCheckOutcome";
import { QuotaName } from "./QuotaName";

/** Takes from leases without a call, and renews them in the background. */
export interface QuotaLeaseClient extends Stoppable {
    /**
     * Tells whether an amount could be taken now; nothing is taken.
     * @param limit - The limit as the settings have it.
     */
    check(name: QuotaName, limit: number, amount: number): QuotaCheckOutcome;
    /** Takes an amount that was checked. */
    take(name: QuotaName, limit: number, amount: number): void;
    /** Gives an amount back that was not used; a negative one is taken in addition. */
    refund(name: QuotaName, amount: number): void;
    /** Takes in a grant of the limit's owner. */
    addGrant(formattedName: string, granted: number, validMilliseconds: number): void;
}
