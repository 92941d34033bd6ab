/*
 * How an attempt ended without its answer.
 */
import { RefusalReason } from "../protocol";
import { Refusal } from "./Refusal";

/** An attempt's end without its answer. */
export interface AttemptFailure extends Refusal {
    /** The configuration revision that the sidecar holds; 0 where it did not say. */
    configurationRevision: bigint;
    /** Why there is no answer. */
    reason: RefusalReason;
}
