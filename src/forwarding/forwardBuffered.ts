/*
 * Forwards a request whose response is buffered and passed on only once it is complete, so that another attempt can
 * replace an incomplete response.
 */
import { createInvariantError } from "../errors";
import { RefusalReason } from "../protocol";
import { AttemptDispatcher } from "./AttemptDispatcher";
import { collectBody } from "./collectBody";
import { ForwardingTask } from "./ForwardingTask";
import { ForwardResult } from "./ForwardResult";
import { hedgedSilenceMilliseconds } from "./hedgedSilenceMilliseconds";
import { HttpResponseHead } from "./HttpResponseHead";
import { isFailureStatus } from "./isFailureStatus";
import { Refusal } from "./Refusal";
import { refuseTask } from "./refuseTask";
import { RunStep } from "./RunStep";
import { startRuns } from "./startRuns";

/** What a run delivers at its end. */
type BufferedValue =
    | { kind: "response"; head: HttpResponseHead; body: Uint8Array; instanceId: string; }
    | { kind: "refused"; refusal: Refusal; };

/**
 * Forwards a request and its whole response.
 * @param task - The request.
 * @param dispatcher - Sends the attempts.
 */
export async function forwardBuffered(task: ForwardingTask, dispatcher: AttemptDispatcher): Promise<ForwardResult> {
    const runs = startRuns({ task, dispatcher, start: run, getHedgedSilence: () => hedgedSilenceMilliseconds });
    for await (const { task: runTask, value } of runs) {
        return { task: runTask, outcome: answer(runTask, value) };
    }
    throw createInvariantError("a request has ended without an outcome");

    /** Sends attempts until there is a whole response, or none will follow. */
    async function* run(runTask: ForwardingTask): AsyncGenerator<RunStep<BufferedValue>, void> {
        while (true) {
            const outcome = await dispatcher.dispatch(runTask, undefined);
            if (outcome.kind === "givenUp") {
                yield { kind: "failed", value: { kind: "refused", refusal: outcome.refusal } };
                return;
            }
            const { response, instance: { instanceId } } = outcome;
            const { head } = response;
            const body = await collectBody(response);
            dispatcher.recordPrefillEnd(runTask, instanceId);
            dispatcher.recordAttemptEnd(runTask, instanceId, body ? "complete" : "lost");
            runTask.responseEnd = { framing: response.framing, isComplete: body !== undefined };
            if (body) {
                const kind = isFailureStatus(head.status) ? "failed" : "delivered";
                yield { kind, value: { kind: "response", head, body, instanceId } };
                return;
            }
            if (!dispatcher.canRunAgain(runTask)) {
                const reason = runTask.signal.aborted ? RefusalReason.DEADLINE : RefusalReason.OUTCOME_UNKNOWN;
                yield { kind: "failed", value: { kind: "refused", refusal: { kind: "unknown", reason } } };
                return;
            }
        }
    }
}

function answer(task: ForwardingTask, value: BufferedValue): ForwardResult["outcome"] {
    if (value.kind === "refused") {
        return refuseTask(task, value.refusal);
    }
    task.reply.send(value.head, value.body);
    return { kind: "answered", status: value.head.status, instanceId: value.instanceId };
}
