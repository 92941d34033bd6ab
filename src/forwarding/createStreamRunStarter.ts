/*
 * Runs a request whose response is a stream of events. Only whole events are passed on, each once and in order, so
 * that a broken stream can be resumed at another engine after the last event that the caller has received. The framing
 * of a response alone does not show that the stream is complete: an engine that crashes may close its connection
 * normally, and where the end of the connection marks the end of the response, only an incomplete event shows the break.
 * What another engine sends instead of the remaining events, such as an error, is never passed on.
 */
import { RefusalReason } from "../protocol";
import { AttemptDispatcher } from "./AttemptDispatcher";
import { AttemptResult } from "./AttemptResult";
import { collectBody } from "./collectBody";
import { createEventSplitter } from "./createEventSplitter";
import { ForwardingTask } from "./ForwardingTask";
import { getContentType } from "./getContentType";
import { getPartLogFields } from "./getPartLogFields";
import { isFailureStatus } from "./isFailureStatus";
import { Refusal } from "./Refusal";
import { ResponseFraming } from "./ResponseFraming";
import { RunStarter } from "./RunStarter";
import { RunStep } from "./RunStep";
import { StreamState } from "./StreamState";
import { StreamValue } from "./StreamValue";

/** The maximum size of an event: a backend server in trouble may send bytes without end. */
const maximumEventBytes = 262_144;

type BackendResponse = Extract<AttemptResult, { kind: "answered"; }>;
type StreamStep = RunStep<StreamValue>;

/** A backend server that streams events. */
interface StreamSource {
    response: BackendResponse;
    instanceId: string;
    softwareVersion: string;
}

/**
 * Creates the starter of a stream's runs.
 * @param dispatcher - Sends the attempts.
 * @param stream - What the caller has received, as the reader of the runs updates it.
 */
export function createStreamRunStarter(dispatcher: AttemptDispatcher, stream: StreamState): RunStarter<StreamValue> {
    return run;

    async function* run(task: ForwardingTask): AsyncGenerator<StreamStep, void> {
        while (true) {
            const { lastEventId } = stream;
            const outcome = await dispatcher.dispatch(
                task,
                lastEventId === undefined ? undefined : String(lastEventId),
            );
            if (outcome.kind === "givenUp") {
                yield fail("no engine took the stream over", "", outcome.refusal);
                return;
            }
            const { response, instance: { instanceId, softwareVersion } } = outcome;
            const problem = await findProblem(task, response, instanceId);
            if (problem) {
                yield problem;
                return;
            }
            const isComplete = yield* readEvents(task, { response, instanceId, softwareVersion });
            if (isComplete) {
                return;
            }
            if (!stream.isResumable || !dispatcher.canRunAgain(task)) {
                const hasEnded = task.signal.aborted;
                yield fail(hasEnded ? "the request has ended" : "the engine broke off", instanceId, {
                    kind: "unknown",
                    reason: hasEnded ? RefusalReason.DEADLINE : RefusalReason.OUTCOME_UNKNOWN,
                });
                return;
            }
            task.logger.info({
                instanceId,
                ...getPartLogFields(task.request.prompt),
                lastEventId: stream.lastEventId,
                responseEnd: task.responseEnd,
            }, "stream goes on elsewhere");
        }
    }

    /** Creates the last step of a run without a response: the stream is broken off once it has begun. */
    function fail(reason: string, instanceId: string, refusal: Refusal): StreamStep {
        const value: StreamValue = stream.startedHead
            ? { kind: "brokenOff", reason, instanceId }
            : { kind: "refused", refusal };
        return { kind: "failed", value };
    }

    /** Returns the last step of a run whose response does not begin or continue the stream; undefined where it does. */
    async function findProblem(
        task: ForwardingTask,
        response: BackendResponse,
        instanceId: string,
    ): Promise<StreamStep | undefined> {
        const { head } = response;
        const { startedHead } = stream;
        const isSuccess = head.status >= 200 && head.status < 300;
        if (startedHead && isSuccess && getContentType(head) === getContentType(startedHead)) {
            return undefined;
        }
        if (!startedHead && isSuccess && await isOriginCertain(task)) {
            return undefined;
        }
        const unknown: Refusal = { kind: "unknown", reason: RefusalReason.OUTCOME_UNKNOWN };
        const body = isSuccess && !startedHead ? undefined : await collectBody(response);
        response.cancel();
        dispatcher.recordPrefillEnd(task, instanceId);
        dispatcher.recordAttemptEnd(task, instanceId, "other");
        if (startedHead || isSuccess || !body) {
            return fail(`status ${head.status} instead of the remaining events`, instanceId, unknown);
        }
        const kind = isFailureStatus(head.status) ? "failed" : "delivered";
        return { kind, value: { kind: "response", head, body, instanceId } };
    }

    /** Reads the events of a response and its end; returns whether the response is complete. */
    async function* readEvents(task: ForwardingTask, source: StreamSource): AsyncGenerator<StreamStep, boolean> {
        const { response, instanceId, softwareVersion } = source;
        const { head, framing } = response;
        const splitter = createEventSplitter();
        let isFirst = true;
        for await (const bytes of response.body) {
            for (const event of splitter.add(bytes)) {
                if (isFirst && stream.startedHead && event.id === undefined) {
                    response.cancel();
                    recordEnd("lost");
                    return false;
                }
                if (isFirst) {
                    isFirst = false;
                    dispatcher.recordPrefillEnd(task, instanceId);
                    task.softwareVersion ??= softwareVersion;
                }
                if (isNew(event.id)) {
                    yield { kind: "delivered", value: { kind: "event", head, event, softwareVersion } };
                }
            }
            if (splitter.getRemainingBytes().length > maximumEventBytes) {
                response.cancel();
                break;
            }
        }
        const remaining = splitter.getRemainingBytes();
        const endsBeforeFirstEvent = isFirst && framing === ResponseFraming.ConnectionEnd;
        const isComplete = response.isComplete() && remaining.length <= maximumEventBytes && !splitter.isInsideEvent()
            && !endsBeforeFirstEvent;
        task.responseEnd = { framing, isComplete, bytesAfterLastEvent: remaining.length };
        recordEnd(isComplete ? "complete" : "lost");
        if (isComplete) {
            yield { kind: "delivered", value: { kind: "end", head, bytes: remaining, instanceId } };
        }
        return isComplete;

        function recordEnd(end: "complete" | "lost"): void {
            if (isFirst) {
                dispatcher.recordPrefillEnd(task, instanceId);
            }
            dispatcher.recordAttemptEnd(task, instanceId, end);
        }
    }

    function isNew(id: number | undefined): boolean {
        return id === undefined || stream.lastEventId === undefined || id > stream.lastEventId;
    }
}

/**
 * Waits for the record of where a stream began; returns false where members may still hold the origin of an earlier
 * attempt at another software version, at which a caller that comes back would be served.
 */
async function isOriginCertain({ originRecord }: ForwardingTask): Promise<boolean> {
    return originRecord === undefined || await originRecord.recorded || !originRecord.replacesOtherVersion;
}
