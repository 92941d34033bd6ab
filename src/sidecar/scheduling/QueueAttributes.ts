/*
 * The attributes that determine a request's position in the queue.
 */
import { CostEstimate } from "./CostEstimate";
import { Lane } from "./Lane";

/** A request's estimated cost and the attributes derived from it. */
export interface QueueAttributes {
    /** The estimate of the request's cost. */
    estimate: CostEstimate;
    /** The lane that the request waits in. */
    lane: Lane;
    /** What the flow is charged for the request, in milliseconds of the backend server. */
    chargeMilliseconds: number;
    /** The length by which the request is ordered: its charge times a factor that is greater for lower priorities. */
    weightedChargeMilliseconds: number;
}
