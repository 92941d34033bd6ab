/*
 * What a request's place in the queue follows from.
 */
import { CostEstimate } from "./CostEstimate";
import { Lane } from "./Lane";

/** A request's estimated cost and its place in the order. */
export interface QueueAttributes {
    /** The estimate. */
    estimate: CostEstimate;
    /** The lane. */
    lane: Lane;
    /** What the request is charged, in milliseconds of the backend server. */
    chargeMilliseconds: number;
    /** What the request counts in the order: its charge, made longer where its priority is lower. */
    weightedChargeMilliseconds: number;
}
