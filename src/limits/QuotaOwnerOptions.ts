/*
 * The dependencies of a quota owner.
 */
import { RequestLimits } from "../control/configuration";
import { Clock } from "../runtime";

/** The options of a quota owner. */
export interface QuotaOwnerOptions {
    /** The clock by which limits refill and leases expire. */
    clock: Clock;
    /** Gets the limits that are set at the level with the given path; undefined where there are none. */
    getLimits: (level: string) => RequestLimits | undefined;
}
