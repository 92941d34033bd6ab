/*
 * The control member's side of quota leases.
 */
import { QuotaGrantAmount } from "./QuotaGrantAmount";

/** Owns limits and leases them to processes in small amounts. */
export interface QuotaOwner {
    /**
     * Grants an amount of a limit.
     * @param holder - The process that requests it, by instance id and incarnation.
     * @param formattedName - The limit's name as text.
     * @param inFlight - How many requests the holder has in flight; used only where the limit counts these.
     * @param desired - The desired amount: in addition for rates, in total for requests in flight.
     * @returns The grant; undefined where no such limit is set.
     */
    grant(holder: string, formattedName: string, inFlight: number, desired: number): QuotaGrantAmount | undefined;
    /** Gets the number of limits that state is kept for. */
    getQuotaCount(): number;
}
