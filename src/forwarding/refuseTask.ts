/*
 * Ends a request that has no answer.
 */
import { ForwardingTask } from "./ForwardingTask";
import { ForwardOutcome } from "./ForwardOutcome";
import { Refusal } from "./Refusal";

/**
 * Refuses a request, unless its caller has left.
 * @param task - The request.
 * @param refusal - What the caller is told.
 */
export function refuseTask(task: ForwardingTask, refusal: Refusal): ForwardOutcome {
    if (task.request.signal.aborted) {
        return { kind: "callerLeft" };
    }
    task.reply.refuse(refusal);
    return { kind: "refused", refusal };
}
