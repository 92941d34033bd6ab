/*
 * Forwards a request whose response is a stream of events, which reach the caller as they arrive. The response of the first
 * engine keeps its head when another one continues the stream.
 */
import { assertNever, createInvariantError } from "../errors";
import { AttemptDispatcher } from "./AttemptDispatcher";
import { createStreamRunStarter } from "./createStreamRunStarter";
import { ForwardingTask } from "./ForwardingTask";
import { ForwardOutcome } from "./ForwardOutcome";
import { ForwardResult } from "./ForwardResult";
import { hedgedSilenceMilliseconds } from "./hedgedSilenceMilliseconds";
import { HttpResponseHead } from "./HttpResponseHead";
import { refuseTask } from "./refuseTask";
import { startRuns } from "./startRuns";
import { StreamState } from "./StreamState";
import { StreamValue } from "./StreamValue";

/**
 * The silence after which another engine may continue a stream, in milliseconds: longer than sound engines pause, which would
 * go on with the stream at the same time. It is late by then whichever of them goes on.
 */
const continuedSilenceMilliseconds = 2_000;

/**
 * Forwards a request and its response stream.
 * @param task - The request.
 * @param dispatcher - Sends the attempts.
 */
export async function forwardStream(task: ForwardingTask, dispatcher: AttemptDispatcher): Promise<ForwardResult> {
    const { request, reply } = task;
    const stream: StreamState = {
        lastEventId: request.lastEventId === undefined ? undefined : Number(request.lastEventId),
        startedHead: undefined,
        isResumable: true,
    };
    const runs = startRuns({
        task,
        dispatcher,
        start: createStreamRunStarter(dispatcher, stream),
        getHedgedSilence,
    });
    for await (const { task: runTask, value } of runs) {
        const outcome = await passOn(runTask, value);
        if (outcome) {
            return { task: runTask, outcome };
        }
    }
    throw createInvariantError("a stream has ended without an outcome");

    function getHedgedSilence(): number {
        if (!stream.isResumable) {
            return Infinity;
        }
        return stream.lastEventId === undefined ? hedgedSilenceMilliseconds : continuedSilenceMilliseconds;
    }

    /** Passes a value on to the caller; returns the outcome where it is the last one. */
    async function passOn(runTask: ForwardingTask, value: StreamValue): Promise<ForwardOutcome | undefined> {
        switch (value.kind) {
            case "event": {
                const { head, event: { id, bytes }, softwareVersion } = value;
                startResponse(head);
                stream.isResumable &&= id !== undefined && softwareVersion !== "";
                stream.lastEventId = id ?? stream.lastEventId;
                await reply.write(bytes);
                return undefined;
            }
            case "end":
                startResponse(value.head);
                if (value.bytes.length > 0) {
                    await reply.write(value.bytes);
                }
                reply.end();
                return { kind: "answered", status: value.head.status, instanceId: value.instanceId };
            case "response":
                reply.send(value.head, value.body);
                return { kind: "answered", status: value.head.status, instanceId: value.instanceId };
            case "refused":
                return refuseTask(runTask, value.refusal);
            case "brokenOff":
                if (request.signal.aborted) {
                    return { kind: "callerLeft" };
                }
                reply.abort(value.reason);
                return value;
            default:
                return assertNever(value);
        }
    }

    function startResponse(head: HttpResponseHead): void {
        if (!stream.startedHead) {
            stream.startedHead = head;
            task.recordResponseBegun();
            reply.start(head);
        }
    }
}
