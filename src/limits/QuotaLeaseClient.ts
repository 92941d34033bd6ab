/*
 * The leases that one process holds of limits shared between processes.
 */
import { Stoppable } from "../runtime";
import { QuotaCheckOutcome } from "./QuotaCheckOutcome";
import { QuotaName } from "./QuotaName";

/** Takes amounts from leases without a remote call, and renews the leases in the background. */
export interface QuotaLeaseClient extends Stoppable {
    /**
     * Tells whether an amount is available now, without taking it. Where it isn't, more is requested from the owner.
     * @param name - The limit's name.
     * @param limit - The limit's value in the settings.
     * @param amount - The amount to check.
     */
    check(name: QuotaName, limit: number, amount: number): QuotaCheckOutcome;
    /**
     * Takes an amount that was checked.
     * @param name - The limit's name.
     * @param limit - The limit's value in the settings.
     * @param amount - The amount to take.
     */
    take(name: QuotaName, limit: number, amount: number): void;
    /**
     * Returns an unused amount of a rate to its lease, or releases one slot of a limit on requests in flight.
     * @param name - The limit's name.
     * @param amount - The unused amount of a rate; a negative amount is taken in addition.
     */
    refund(name: QuotaName, amount: number): void;
    /**
     * Adds a grant from the limit's owner to its lease; ignored where there is no such lease.
     * @param formattedName - The limit's name as text.
     * @param granted - The amount: an addition for rates, the total for requests in flight.
     * @param validMilliseconds - How long the grant is valid from now.
     */
    addGrant(formattedName: string, granted: number, validMilliseconds: number): void;
}
