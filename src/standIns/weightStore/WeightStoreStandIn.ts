/*
 * The handle of a running weight store stand-in.
 */
import { StandIn } from "../StandIn";

/** A stand-in for the rate-limited weight store. */
export interface WeightStoreStandIn extends StandIn {
    /** Gets the number of fetches in progress. */
    getFetchCount(): number;
    /** Gets the maximum number of concurrent fetches so far. */
    getMaximumConcurrentFetches(): number;
}
