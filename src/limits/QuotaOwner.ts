/*
 * The one member that hands out a limit's amounts.
 */
import { QuotaGrantAmount } from "./QuotaGrantAmount";

/** Owns limits and leases them out in small amounts. */
export interface QuotaOwner {
    /**
     * Grants an amount of a limit.
     * @param holder - The process that asks, by instance and incarnation.
     * @param formattedName - The limit's name.
     * @param inFlight - How many requests the holder has in flight, where the limit is on these.
     * @param desired - How much the holder wants: in addition for rates, in all for requests in flight.
     * @returns The grant; undefined where no such limit is set.
     */
    grant(holder: string, formattedName: string, inFlight: number, desired: number): QuotaGrantAmount | undefined;
    /** Gets how many limits have state here. */
    getQuotaCount(): number;
}
