/*
 * The dependencies of a quota lease client.
 */
import { Clock } from "../runtime";

/** The options of a quota lease client. */
export interface QuotaLeaseClientOptions {
    /** The clock by which leases expire. */
    clock: Clock;
    /**
     * Requests an amount from a limit's owner without waiting for the grant, which may never arrive. The parameters are
     * the limit's name as text, the number of requests in flight, and the desired amount: in addition for rates, in
     * total for requests in flight.
     */
    requestQuota: (formattedName: string, inFlight: number, desired: number) => void;
}
