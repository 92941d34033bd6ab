/*
 * Forwards a request whose answer is passed on only once all of it is there, so that an answer that breaks off can be
 * replaced.
 */
import { RefusalReason } from "../protocol";
import { AnswerOpener } from "./AnswerOpener";
import { collectBody } from "./collectBody";
import { ForwardEnd } from "./ForwardEnd";
import { ForwardingTask } from "./ForwardingTask";
import { refuseTask } from "./refuseTask";

/**
 * Forwards a request.
 * @param task - The request.
 * @param opener - Sends the attempts.
 */
export async function forwardWhole(task: ForwardingTask, opener: AnswerOpener): Promise<ForwardEnd> {
    while (true) {
        const outcome = await opener.open(task, undefined);
        if (outcome.kind === "givenUp") {
            return refuseTask(task, outcome.refusal);
        }
        const { answer, instance: { instanceId } } = outcome;
        const body = await collectBody(answer.body);
        opener.noteStarted(task, instanceId);
        opener.noteEnded(instanceId);
        if (answer.isComplete()) {
            task.reply.send(answer.head, body);
            return { kind: "answered", status: answer.head.status, instanceId };
        }
        if (!opener.canRepeat(task)) {
            const reason = task.signal.aborted ? RefusalReason.DEADLINE : RefusalReason.OUTCOME_UNKNOWN;
            return refuseTask(task, { kind: "unknown", reason });
        }
    }
}
