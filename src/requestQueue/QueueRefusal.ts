/*
 * The refusal of a request that was not started.
 */
import { ContentionReason } from "../metrics";

/** A refusal with the inputs of the decision. */
export interface QueueRefusal {
    reason: ContentionReason;
    /** The delay after which the caller may retry, in milliseconds. */
    retryAfterMilliseconds: number;
    /** The estimated wait from now to the start; undefined where it was not estimated. */
    estimatedMilliseconds: number | undefined;
    /** The measured mean interval between starts, in milliseconds; undefined where it is not known. */
    intervalMilliseconds: number | undefined;
    /** The time since the last start, in milliseconds; undefined before the first one. */
    intervalAgeMilliseconds: number | undefined;
    /** Whether the request's workspace has more work waiting than its share. */
    isOverShare: boolean;
}
