/*
 * Follows one attempt's answer in order, over as many connections to its sidecar as it takes.
 */
import { create } from "@bufbuild/protobuf";
import { CounterName } from "../../metrics";
import { DispatchEvent, DispatchRequest, RefusalReason, ResumeRequestSchema } from "../../protocol";
import { AttemptFollowerOptions } from "./AttemptFollowerOptions";
import { AttemptStreamEvent } from "./AttemptStreamEvent";
import { AttemptTarget } from "./AttemptTarget";
import { LinkEvent } from "./LinkEvent";

const reconnectTimeoutMilliseconds = 3_000;
const notConnectedTimeoutMilliseconds = 500;
const initialRetryDelayMilliseconds = 20;
const maximumRetryDelayMilliseconds = 250;

/**
 * Follows an attempt.
 * @param target - The attempt.
 * @param dispatch - The message that starts the attempt; undefined to come back for one that is under way.
 * @param signal - Ends the following.
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

    /** Dispatches the first time, and comes back for the answer after that. */
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

    /** Takes the place of one event in the answer: only the next one is passed on. */
    function classifyEvent(event: DispatchEvent): "next" | "skip" | "gap" | "stopped" {
        if (event.requestId !== target.requestId) {
            metrics.addCount(CounterName.CrossedAnswers);
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
            metrics.addCount(CounterName.LateAnswers);
            return "skip";
        }
        if (event.sequence > nextSequence) {
            return "gap";
        }
        nextSequence++;
        return "next";
    }

    /** Gets why there is no more to follow, or pauses before the next try. */
    async function stopOrDelay(failure: LinkEvent | undefined): Promise<AttemptStreamEvent | undefined> {
        const message = failure === undefined || failure.kind === "event" ? "A part was missing." : failure.message;
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
        await clock.sleep(retryDelayMilliseconds * (1 + random.getUnit()), signal);
        retryDelayMilliseconds = Math.min(retryDelayMilliseconds * 2, maximumRetryDelayMilliseconds);
        return undefined;
    }
}

/** Gets why a sidecar can't go on with an answer. */
function getStopEvent(event: DispatchEvent): AttemptStreamEvent {
    const refused = event.event.case === "refused" ? event.event.value : undefined;
    const message = refused?.message ?? "";
    switch (refused?.reason) {
        case RefusalReason.WRONG_INCARNATION:
            return { kind: "stopped", cause: "gone", message };
        case RefusalReason.LINK_LOST:
            return { kind: "stopped", cause: "cut", message };
        default:
            return { kind: "stopped", cause: "unseen", message };
    }
}
