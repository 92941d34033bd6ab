/*
 * The error response to a request that could not be completed.
 */
import { RefusalReason, RunState } from "../protocol";

/** A refusal with the details that the caller receives. */
export interface Refusal {
    /** The reason for the refusal, from which status and error code follow. */
    reason: RefusalReason;
    /** Whether any part of the request ran. */
    runState: RunState;
    /** The error message for the caller, in one sentence. */
    message: string;
    /** The time after which the caller may retry, in milliseconds; 0 where a retry does not help. */
    retryAfterMilliseconds: number;
}
