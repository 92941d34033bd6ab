/*
 * Forwards a request whose response is buffered and passed on only once it is complete, so that another attempt can
 * replace an incomplete response.
 */
import { RefusalReason } from "../protocol";
import { AttemptDispatcher } from "./AttemptDispatcher";
import { collectBody } from "./collectBody";
import { ForwardingTask } from "./ForwardingTask";
import { ForwardOutcome } from "./ForwardOutcome";
import { refuseTask } from "./refuseTask";

/**
 * Forwards a request and its whole response.
 * @param task - The request.
 * @param dispatcher - Sends the attempts.
 */
export async function forwardBuffered(task: ForwardingTask, dispatcher: AttemptDispatcher): Promise<ForwardOutcome> {
    while (true) {
        const outcome = await dispatcher.dispatch(task, undefined);
        if (outcome.kind === "givenUp") {
            return refuseTask(task, outcome.refusal);
        }
        const { response, instance: { instanceId } } = outcome;
        const body = await collectBody(response);
        dispatcher.recordPrefillEnd(task, instanceId);
        dispatcher.recordAttemptEnd(task, instanceId, body ? "complete" : "lost");
        task.responseEnd = { framing: response.framing, isComplete: body !== undefined };
        if (body) {
            task.reply.send(response.head, body);
            return { kind: "answered", status: response.head.status, instanceId };
        }
        if (!dispatcher.canRunAgain(task)) {
            const reason = task.signal.aborted ? RefusalReason.DEADLINE : RefusalReason.OUTCOME_UNKNOWN;
            return refuseTask(task, { kind: "unknown", reason });
        }
    }
}
