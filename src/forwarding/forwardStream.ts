/*
 * Forwards a request whose response is a stream of events. Only whole events are passed on, each once and in order, so
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
import { ForwardOutcome } from "./ForwardOutcome";
import { getContentType } from "./getContentType";
import { getPartLogFields } from "./getPartLogFields";
import { HttpResponseHead } from "./HttpResponseHead";
import { refuseTask } from "./refuseTask";
import { ResponseFraming } from "./ResponseFraming";
import { StreamEvent } from "./StreamEvent";

/** The maximum size of an event: a backend server in trouble may send bytes without end. */
const maximumEventBytes = 262_144;

type BackendResponse = Extract<AttemptResult, { kind: "answered"; }>;

/**
 * Forwards a request and its response stream.
 * @param task - The request.
 * @param dispatcher - Sends the attempts.
 */
export async function forwardStream(task: ForwardingTask, dispatcher: AttemptDispatcher): Promise<ForwardOutcome> {
    const { request, reply } = task;
    let lastEventId = request.lastEventId === undefined ? undefined : Number(request.lastEventId);
    /** The head of the response that the caller receives; undefined before its first event. */
    let startedHead: HttpResponseHead | undefined;
    let isResumable = true;
    while (true) {
        const outcome = await dispatcher.dispatch(task, lastEventId === undefined ? undefined : String(lastEventId));
        if (outcome.kind === "givenUp") {
            return startedHead
                ? abortResponse("no engine took the stream over", "")
                : refuseTask(task, outcome.refusal);
        }
        const { response, instance: { instanceId, softwareVersion } } = outcome;
        const isSuccess = response.head.status >= 200 && response.head.status < 300;
        if (startedHead && (!isSuccess || getContentType(response.head) !== getContentType(startedHead))) {
            await collectBody(response);
            dispatcher.recordPrefillEnd(task, instanceId);
            dispatcher.recordAttemptEnd(task, instanceId, "other");
            return abortResponse(`status ${response.head.status} instead of the remaining events`, instanceId);
        }
        if (!isSuccess) {
            return sendErrorResponse(response, instanceId);
        }
        if (!startedHead && !await isOriginCertain(task)) {
            response.cancel();
            dispatcher.recordPrefillEnd(task, instanceId);
            dispatcher.recordAttemptEnd(task, instanceId, "other");
            return refuseTask(task, { kind: "unknown", reason: RefusalReason.OUTCOME_UNKNOWN });
        }
        const isComplete = await forwardEvents(response, instanceId, softwareVersion);
        dispatcher.recordAttemptEnd(task, instanceId, isComplete ? "complete" : "lost");
        if (isComplete) {
            reply.end();
            return { kind: "answered", status: response.head.status, instanceId };
        }
        if (request.signal.aborted) {
            return { kind: "callerLeft" };
        }
        if (!isResumable || !dispatcher.canRunAgain(task)) {
            const reason = task.signal.aborted ? RefusalReason.DEADLINE : RefusalReason.OUTCOME_UNKNOWN;
            return startedHead
                ? abortResponse("the engine broke off", instanceId)
                : refuseTask(task, { kind: "unknown", reason });
        }
        task.logger.info(
            { instanceId, ...getPartLogFields(request.prompt), lastEventId, responseEnd: task.responseEnd },
            "stream goes on elsewhere",
        );
    }

    /** Forwards the events of a response; returns whether the response is complete. */
    async function forwardEvents(
        response: BackendResponse,
        instanceId: string,
        softwareVersion: string,
    ): Promise<boolean> {
        const splitter = createEventSplitter();
        let isFirst = true;
        for await (const bytes of response.body) {
            for (const event of splitter.add(bytes)) {
                if (isFirst && startedHead && event.id === undefined) {
                    response.cancel();
                    dispatcher.recordPrefillEnd(task, instanceId);
                    return false;
                }
                if (isFirst) {
                    isFirst = false;
                    dispatcher.recordPrefillEnd(task, instanceId);
                    task.softwareVersion ??= softwareVersion;
                    isResumable &&= task.softwareVersion !== "";
                }
                await forwardEvent(response, event);
            }
            if (splitter.getRemainingBytes().length > maximumEventBytes) {
                response.cancel();
                break;
            }
        }
        if (isFirst) {
            dispatcher.recordPrefillEnd(task, instanceId);
        }
        const remaining = splitter.getRemainingBytes();
        const endsBeforeFirstEvent = isFirst && response.framing === ResponseFraming.ConnectionEnd;
        const isComplete = response.isComplete() && remaining.length <= maximumEventBytes && !splitter.isInsideEvent()
            && !endsBeforeFirstEvent;
        task.responseEnd = { framing: response.framing, isComplete, bytesAfterLastEvent: remaining.length };
        if (!isComplete) {
            return false;
        }
        startResponse(response);
        if (remaining.length > 0) {
            await reply.write(remaining);
        }
        return true;
    }

    async function forwardEvent(response: BackendResponse, { id, bytes }: StreamEvent): Promise<void> {
        if (id !== undefined && lastEventId !== undefined && id <= lastEventId) {
            return;
        }
        startResponse(response);
        isResumable &&= id !== undefined;
        lastEventId = id ?? lastEventId;
        await reply.write(bytes);
    }

    function startResponse(response: BackendResponse): void {
        if (!startedHead) {
            startedHead = response.head;
            reply.start(response.head);
        }
    }

    function abortResponse(reason: string, instanceId: string): ForwardOutcome {
        reply.abort();
        return { kind: "brokenOff", reason, instanceId };
    }

    async function sendErrorResponse(response: BackendResponse, instanceId: string): Promise<ForwardOutcome> {
        const body = await collectBody(response);
        dispatcher.recordPrefillEnd(task, instanceId);
        dispatcher.recordAttemptEnd(task, instanceId, "other");
        if (!body) {
            return refuseTask(task, { kind: "unknown", reason: RefusalReason.OUTCOME_UNKNOWN });
        }
        reply.send(response.head, body);
        return { kind: "answered", status: response.head.status, instanceId };
    }
}

/**
 * Waits for the record of where a stream began; returns false where members may still hold the origin of an earlier
 * attempt at another software version, at which a caller that comes back would be served.
 */
async function isOriginCertain({ originRecord }: ForwardingTask): Promise<boolean> {
    return originRecord === undefined || await originRecord.recorded || !originRecord.replacesOtherVersion;
}
