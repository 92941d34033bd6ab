/*
 * Forwards a request that is answered by a stream of events. Only whole events are passed on, each once and in order, so
 * that a stream that breaks can go on at another engine behind the last event that the caller has.
 */
import { RefusalReason } from "../protocol";
import { AnswerOpener } from "./AnswerOpener";
import { BackendAnswer } from "./BackendAnswer";
import { collectBody } from "./collectBody";
import { createEventSplitter } from "./createEventSplitter";
import { ForwardEnd } from "./ForwardEnd";
import { ForwardingTask } from "./ForwardingTask";
import { refuseTask } from "./refuseTask";
import { StreamEvent } from "./StreamEvent";

type OpenedAnswer = Extract<BackendAnswer, { kind: "answered"; }>;

/**
 * Forwards a request.
 * @param task - The request.
 * @param opener - Sends the attempts.
 */
export async function forwardStream(task: ForwardingTask, opener: AnswerOpener): Promise<ForwardEnd> {
    const { request, reply } = task;
    let lastEventId = request.lastEventId === undefined ? undefined : Number(request.lastEventId);
    let isStarted = false;
    let isResumable = true;
    while (true) {
        const outcome = await opener.open(task, lastEventId === undefined ? undefined : String(lastEventId));
        if (outcome.kind === "givenUp") {
            return isStarted ? breakOff("no engine took the stream over", "") : refuseTask(task, outcome.refusal);
        }
        const { answer, instance: { instanceId } } = outcome;
        const isSuccess = answer.head.status >= 200 && answer.head.status < 300;
        if (!isSuccess && isStarted) {
            await collectBody(answer.body);
            opener.noteEnded(instanceId);
            return breakOff(`status ${answer.head.status} in place of the rest`, instanceId);
        }
        if (!isSuccess) {
            return sendFailure(answer, instanceId);
        }
        const isComplete = await passEvents(answer, instanceId);
        opener.noteEnded(instanceId);
        if (isComplete) {
            reply.end();
            return { kind: "answered", status: answer.head.status, instanceId };
        }
        if (request.signal.aborted) {
            return { kind: "callerLeft" };
        }
        if (!isResumable || !opener.canRepeat(task)) {
            const reason = task.signal.aborted ? RefusalReason.DEADLINE : RefusalReason.OUTCOME_UNKNOWN;
            return isStarted
                ? breakOff("the engine broke off", instanceId)
                : refuseTask(task, { kind: "unknown", reason });
        }
        task.logger.info({ instanceId, lastEventId }, "stream goes on elsewhere");
    }

    /** Passes an answer's events on; tells whether the answer came to its end. */
    async function passEvents(answer: OpenedAnswer, instanceId: string): Promise<boolean> {
        const splitter = createEventSplitter();
        let isFirst = true;
        for await (const bytes of answer.body) {
            for (const event of splitter.add(bytes)) {
                if (isFirst) {
                    isFirst = false;
                    opener.noteStarted(task, instanceId);
                }
                await passEvent(answer, event);
            }
        }
        if (isFirst) {
            opener.noteStarted(task, instanceId);
        }
        if (!answer.isComplete()) {
            return false;
        }
        start(answer);
        const rest = splitter.getRest();
        if (rest.length > 0) {
            await reply.write(rest);
        }
        return true;
    }

    async function passEvent(answer: OpenedAnswer, { id, bytes }: StreamEvent): Promise<void> {
        if (id !== undefined && lastEventId !== undefined && id <= lastEventId) {
            return;
        }
        start(answer);
        isResumable &&= id !== undefined;
        lastEventId = id ?? lastEventId;
        await reply.write(bytes);
    }

    function start(answer: OpenedAnswer): void {
        if (!isStarted) {
            isStarted = true;
            reply.start(answer.head);
        }
    }

    function breakOff(reason: string, instanceId: string): ForwardEnd {
        reply.breakOff();
        return { kind: "brokenOff", reason, instanceId };
    }

    async function sendFailure(answer: OpenedAnswer, instanceId: string): Promise<ForwardEnd> {
        const body = await collectBody(answer.body);
        opener.noteStarted(task, instanceId);
        opener.noteEnded(instanceId);
        if (!answer.isComplete()) {
            return refuseTask(task, { kind: "unknown", reason: RefusalReason.OUTCOME_UNKNOWN });
        }
        reply.send(answer.head, body);
        return { kind: "answered", status: answer.head.status, instanceId };
    }
}
