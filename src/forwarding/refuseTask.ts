/*
 * Ends a request for which there is no response to pass on.
 */
import { ForwardingTask } from "./ForwardingTask";
import { ForwardOutcome } from "./ForwardOutcome";
import { Refusal } from "./Refusal";

/**
 * Refuses a request, unless its caller has disconnected.
 * @param task - The request.
 * @param refusal - The refusal that is sent to the caller.
 * @returns The outcome of the request.
 */
export function refuseTask(task: ForwardingTask, refusal: Refusal): ForwardOutcome {
    if (task.request.signal.aborted) {
        return { kind: "callerLeft" };
    }
    task.reply.refuse(refusal);
    return { kind: "refused", refusal };
}
