/*
 * A running weight store stand-in.
 */
import { StandIn } from "../StandIn";

/** A stand-in for the rate-limited weight store. */
export interface WeightStoreStandIn extends StandIn {
    /** Gets how many fetches run now. */
    getFetchCount(): number;
    /** Gets the most fetches that ran at once. */
    getMaximumConcurrentFetches(): number;
}
