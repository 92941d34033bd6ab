/*
 * Follows the response of one attempt in order, over several connections to its sidecar if needed.
 */
import { create } from "@bufbuild/protobuf";
import { CounterName } from "../../metrics";
import { DispatchEvent, DispatchRequest, RefusalReason, ResumeRequestSchema } from "../../protocol";
import { AttemptFollowerOptions } from "./AttemptFollowerOptions";
import { AttemptStreamEvent } from "./AttemptStreamEvent";
import { AttemptTarget } from "./AttemptTarget";
import { LinkEvent } from "./LinkEvent";

/** How long to retry after a connection was lost. */
const reconnectTimeoutMilliseconds = 3_000;
/** How long to retry while no connection can be established. */
const notConnectedTimeoutMilliseconds = 500;
const initialRetryDelayMilliseconds = 20;
const maximumRetryDelayMilliseconds = 250;

/**
 * Follows an attempt. Reconnects when a connection is lost, and resumes behind the last event that it has yielded.
 * @param options - The connections, the clock, the random source and the metrics.
 * @param target - The attempt.
 * @param dispatch - The message that starts the attempt; undefined to resume an attempt that has already started.
 * @param signal - Stops following.
 * @returns The events of the response. The last one is an `end` or `refused` event, or gives the cause for the stop.
 */
export async function* followAttempt(
    options: AttemptFollowerOptions,
    target: AttemptTarget,
    dispatch: DispatchRequest | undefined,
    signal: AbortSignal,
): AsyncGenerator<AttemptStreamEvent> {
    const { clock, link, metrics, random } = options;
    let nextSequence = 1n;
    let hasReceivedEvent = false;
    let connectionLostMilliseconds: number | undefined;
    let retryDelayMilliseconds = initialRetryDelayMilliseconds;
    let isDispatched = false;
    while (true) {
        const events = openCall();
        let failure: LinkEvent | undefined;
        for await (const linkEvent of events) {
            if (linkEvent.kind !== "event") {
                failure = linkEvent;
                break;
            }
            const { event } = linkEvent;
            const handling = classifyEvent(event);
            if (handling === "gap") {
                break;
            }
            if (handling === "stopped") {
                yield getStopEvent(event);
                return;
            }
            if (handling === "next") {
                yield linkEvent;
                if (event.event.case === "end" || event.event.case === "refused") {
                    return;
                }
            }
        }
        const end = await stopOrDelay(failure);
        if (end !== undefined) {
            yield end;
            return;
        }
    }

    /** Dispatches the attempt in the first call, and resumes its response in later calls. */
    function openCall(): AsyncGenerator<LinkEvent> {
        if (dispatch !== undefined && !isDispatched) {
            isDispatched = true;
            return link.dispatch(target.address, dispatch, signal);
        }
        const { attempt, incarnation, requestId } = target;
        const request = create(ResumeRequestSchema, {
            requestId,
            attempt,
            nextSequence,
            companionIncarnation: incarnation,
        });
        metrics.addCount(CounterName.ResumedStreams);
        return link.resume(target.address, request, signal);
    }

    /** Compares an event's sequence number with the expected one, so that only the next event is yielded. */
    function classifyEvent(event: DispatchEvent): "next" | "skip" | "gap" | "stopped" {
        if (event.requestId !== target.requestId) {
            metrics.addCount(CounterName.CrossedResponses);
            return "skip";
        }
        if (event.sequence === 0n && event.event.case === "refused") {
            return "stopped";
        }
        hasReceivedEvent = true;
        connectionLostMilliseconds = undefined;
        retryDelayMilliseconds = initialRetryDelayMilliseconds;
        if (event.sequence === 0n) {
            return "skip";
        }
        if (event.sequence < nextSequence) {
            metrics.addCount(CounterName.LateResponses);
            return "skip";
        }
        if (event.sequence > nextSequence) {
            return "gap";
        }
        nextSequence++;
        return "next";
    }

    /** Returns the event that ends the response, or waits before the next call and returns undefined. */
    async function stopOrDelay(failure: LinkEvent | undefined): Promise<AttemptStreamEvent | undefined> {
        const message = failure === undefined || failure.kind === "event" ? "an event is missing" : failure.message;
        if (signal.aborted) {
            return { kind: "stopped", cause: "aborted", message };
        }
        if (
            failure?.kind === "notConnected" && dispatch !== undefined && !hasReceivedEvent
            && connectionLostMilliseconds === undefined
        ) {
            return { kind: "stopped", cause: "notConnected", message };
        }
        if (!hasReceivedEvent && !target.isClaimed) {
            return { kind: "stopped", cause: "lost", message };
        }
        const now = clock.getMonotonicMilliseconds();
        connectionLostMilliseconds ??= now;
        const timeoutMilliseconds = failure?.kind === "notConnected"
            ? notConnectedTimeoutMilliseconds
            : reconnectTimeoutMilliseconds;
        if (now - connectionLostMilliseconds >= timeoutMilliseconds) {
            metrics.addCount(CounterName.BrokenStreams);
            return { kind: "stopped", cause: "lost", message };
        }
        await clock.sleep(retryDelayMilliseconds * (1 + random.getFraction()), signal);
        retryDelayMilliseconds = Math.min(retryDelayMilliseconds * 2, maximumRetryDelayMilliseconds);
        return undefined;
    }
}

/** Gets the event for a sidecar's refusal to continue a response. */
function getStopEvent(event: DispatchEvent): AttemptStreamEvent {
    const refused = event.event.case === "refused" ? event.event.value : undefined;
    const message = refused?.message ?? "";
    switch (refused?.reason) {
        case RefusalReason.WRONG_INCARNATION:
            return { kind: "stopped", cause: "restarted", message };
        case RefusalReason.LINK_LOST:
            return { kind: "stopped", cause: "discarded", message };
        default:
            return { kind: "stopped", cause: "unknown", message };
    }
}
