/*
 * Why the quota of a workspace prevents a request from being sent.
 */
import { RefusalReason } from "../protocol";

/** The refusal of a request by its quota. */
export interface QuotaRefusal {
    reason: RefusalReason;
    /** The delay after which the caller may retry, in milliseconds. */
    retryAfterMilliseconds: number;
}
