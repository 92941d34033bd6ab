/*
 * Follows one attempt's answer in order, over as many connections to its sidecar as it takes.
 */
import { create } from "@bufbuild/protobuf";
import { CounterName } from "../../metrics";
import { DispatchEvent, DispatchRequest, RefusalReason, ResumeRequestSchema } from "../../protocol";
import { AttemptFollowerOptions } from "./AttemptFollowerOptions";
import { AttemptTarget } from "./AttemptTarget";
import { FollowEvent } from "./FollowEvent";
import { LinkEvent } from "./LinkEvent";

const patienceMilliseconds = 3_000;
const refusedPatienceMilliseconds = 500;
const firstPauseMilliseconds = 20;
const longestPauseMilliseconds = 250;

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
): AsyncGenerator<FollowEvent> {
    const { clock, link, metrics, random } = options;
    let nextSequence = 1n;
    let hasSign = false;
    let lostMilliseconds: number | undefined;
    let pauseMilliseconds = firstPauseMilliseconds;
    let isDispatched = false;
    while (true) {
        const events = openCall();
        let broken: LinkEvent | undefined;
        for await (const linkEvent of events) {
            if (linkEvent.kind !== "event") {
                broken = linkEvent;
                break;
            }
            const { event } = linkEvent;
            const step = takeEvent(event);
            if (step === "gap") {
                break;
            }
            if (step === "stopped") {
                yield getStopped(event);
                return;
            }
            if (step === "next") {
                yield linkEvent;
                if (event.event.case === "end" || event.event.case === "refused") {
                    return;
                }
            }
        }
        const end = await getEndOrPause(broken);
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
    function takeEvent(event: DispatchEvent): "next" | "skip" | "gap" | "stopped" {
        if (event.requestId !== target.requestId) {
            metrics.addCount(CounterName.CrossedAnswers);
            return "skip";
        }
        if (event.sequence === 0n && event.event.case === "refused") {
            return "stopped";
        }
        hasSign = true;
        lostMilliseconds = undefined;
        pauseMilliseconds = firstPauseMilliseconds;
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
    async function getEndOrPause(broken: LinkEvent | undefined): Promise<FollowEvent | undefined> {
        const message = broken === undefined || broken.kind === "event" ? "A part was missing." : broken.message;
        if (signal.aborted) {
            return { kind: "stopped", cause: "aborted", message };
        }
        if (broken?.kind === "notConnected" && dispatch !== undefined && !hasSign && lostMilliseconds === undefined) {
            return { kind: "stopped", cause: "notConnected", message };
        }
        if (!hasSign && !target.isClaimed) {
            return { kind: "stopped", cause: "lost", message };
        }
        const now = clock.getMonotonicMilliseconds();
        lostMilliseconds ??= now;
        const patience = broken?.kind === "notConnected" ? refusedPatienceMilliseconds : patienceMilliseconds;
        if (now - lostMilliseconds >= patience) {
            metrics.addCount(CounterName.BrokenStreams);
            return { kind: "stopped", cause: "lost", message };
        }
        await clock.sleep(pauseMilliseconds * (1 + random.getUnit()), signal);
        pauseMilliseconds = Math.min(pauseMilliseconds * 2, longestPauseMilliseconds);
        return undefined;
    }
}

/** Gets why a sidecar can't go on with an answer. */
function getStopped(event: DispatchEvent): FollowEvent {
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
