/*
 * Creates refusals of requests that did not run.
 */
import { RefusalReason, RunState } from "../protocol";
import { Refusal } from "./Refusal";

/**
 * Creates the refusal of a request of which no part ran.
 * @param reason - The reason for the refusal.
 * @param message - The error message for the caller, in one sentence.
 * @param retryAfterMilliseconds - The time after which the caller may retry; 0 where a retry does not help.
 */
export function createRefusal(reason: RefusalReason, message: string, retryAfterMilliseconds = 0): Refusal {
    return { reason, runState: RunState.NOT_RUN, message, retryAfterMilliseconds };
}
