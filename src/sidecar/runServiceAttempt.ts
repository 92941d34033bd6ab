/*
 * Calls a plain service and converts its response into events.
 */
import { create } from "@bufbuild/protobuf";
import { ServiceEvent } from "../backends";
import { assertNever } from "../errors";
import { createEventSplitter, EventSplitter } from "../forwarding";
import { getRunState } from "../outcome";
import {
    BodyChunkSchema,
    EndSchema,
    HeaderSchema,
    RefusalReason,
    ResponseHeadSchema,
    ServiceWork,
    StartedSchema,
} from "../protocol";
import { AttemptEvent } from "./AttemptEvent";
import { AttemptRun } from "./AttemptRun";
import { createRefusedEvent } from "./createRefusedEvent";
import { SidecarOptions } from "./SidecarOptions";

/**
 * Calls the service.
 * @param options - The options of the sidecar.
 * @param run - The attempt that the scheduler has started.
 * @param work - The call.
 */
export async function* runServiceAttempt(
    options: SidecarOptions,
    run: AttemptRun,
    work: ServiceWork,
): AsyncGenerator<AttemptEvent> {
    const { authority, backend, incarnation } = options;
    const { attempt, queueMilliseconds, request, slot } = run;
    const backendState = run.getBackendState();
    if (backend.kind !== "service") {
        slot.release(undefined);
        const runState = getRunState({ kind: "endedInQueue" });
        yield createRefusedEvent(RefusalReason.NOT_FOUND, runState, "No service stands here.", 0n);
        return;
    }
    let eventSplitter: EventSplitter | undefined;
    attempt.setRunState(getRunState({ kind: "responseLost" }));
    try {
        yield {
            case: "started",
            value: create(StartedSchema, {
                companionIncarnation: incarnation,
                backendIncarnation: backendState.incarnation,
                queueMilliseconds: Math.round(queueMilliseconds),
            }),
        };
        for await (const event of backend.adapter.call(request.requestId, work, attempt.signal)) {
            yield convertEvent(event);
        }
    }
    finally {
        slot.release(undefined);
    }

    /** Converts a service's event into the attempt's. */
    function convertEvent(event: ServiceEvent): AttemptEvent {
        switch (event.kind) {
            case "head": {
                attempt.setRunState(getRunState({ kind: "handedToBackend" }));
                eventSplitter = isEventStream(event.headers) ? createEventSplitter() : undefined;
                const headers = event.headers.map(header => create(HeaderSchema, header));
                return { case: "head", value: create(ResponseHeadSchema, { status: event.status, headers }) };
            }
            case "body":
                eventSplitter?.add(event.data);
                return { case: "body", value: create(BodyChunkSchema, { data: event.data }) };
            case "end":
                return eventSplitter?.isInsideEvent()
                    ? convertFailure({ kind: "failed", hasSent: true, message: "The answer ended inside an event" })
                    : { case: "end", value: create(EndSchema, {}) };
            case "failed":
                return convertFailure(event);
            default:
                return assertNever(event);
        }
    }

    function convertFailure(event: Extract<ServiceEvent, { kind: "failed"; }>): AttemptEvent {
        const runState = getRunState({ kind: "backendFailed", hasSent: event.hasSent });
        const reason = event.hasSent ? RefusalReason.OUTCOME_UNKNOWN : RefusalReason.BACKEND_UNREACHABLE;
        attempt.setRunState(runState);
        return createRefusedEvent(reason, runState, event.message, authority.getRevision());
    }
}

/** Returns whether a response is a stream of server-sent events. */
function isEventStream(headers: readonly { name: string; value: string; }[]): boolean {
    return headers.some(({ name, value }) => name === "content-type" && value.startsWith("text/event-stream"));
}
