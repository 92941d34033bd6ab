/*
 * The failure of one attempt at a request.
 */
import { RefusalReason } from "../protocol";
import { Refusal } from "./Refusal";

/** Describes why an attempt ended without a complete response. */
export interface AttemptFailure extends Refusal {
    /** The configuration revision that the sidecar reported; 0 where it reported none. */
    configurationRevision: bigint;
    /** The reason for the failure. */
    reason: RefusalReason;
}
