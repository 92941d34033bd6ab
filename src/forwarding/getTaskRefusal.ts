/*
 * The refusal of an admitted request.
 */
import { RefusalReason } from "../protocol";
import { ForwardingTask } from "./ForwardingTask";
import { Refusal } from "./Refusal";

/**
 * Creates a refusal, which states "not run" only where no attempt can have run.
 * @param task - The request.
 * @param reason - The reason for the caller.
 * @param retryAfterMilliseconds - The delay after which the caller may retry, in milliseconds.
 */
export function getTaskRefusal(task: ForwardingTask, reason: RefusalReason, retryAfterMilliseconds: number): Refusal {
    return task.counts.run > 0
        ? { kind: "unknown", reason }
        : { kind: "notRun", reason, retryAfterMilliseconds };
}
