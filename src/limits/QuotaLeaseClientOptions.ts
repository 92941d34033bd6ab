/*
 * What a quota lease client is made from.
 */
import { Clock } from "../runtime";

/** The options of a quota lease client. */
export interface QuotaLeaseClientOptions {
    /** The clock by which leases expire. */
    clock: Clock;
    /** Asks the owner of a limit for an amount; the grant comes later, or never. */
    requestQuota: (formattedName: string, inFlight: number, desired: number) => void;
}
