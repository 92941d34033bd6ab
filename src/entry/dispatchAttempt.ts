/*
 * Makes one attempt at an idempotent request at one sidecar: dispatch, then the answer's events in order to the end.
 */
import { create } from "@bufbuild/protobuf";
import { assertNever } from "../errors";
import { getRunState, RunEvidence } from "../outcome";
import { DispatchEvent, End, EndSchema, RefusalReason, Refused, RunState } from "../protocol";
import { RouteStep } from "../routing";
import { AdmittedRequest } from "./AdmittedRequest";
import { AnswerEvent } from "./AnswerEvent";
import { AttemptFailure } from "./AttemptFailure";
import { AttemptState } from "./AttemptState";
import { createDispatchRequest } from "./createDispatchRequest";
import { getAnswerEvent } from "./getAnswerEvent";
import { noteRefusal } from "./noteRefusal";
import { RunnerParts } from "./RunnerParts";
import { AttemptStreamEvent, AttemptTarget, followAttempt } from "./sidecars";

/**
 * Makes one attempt.
 * @param step - The sidecar that is tried, and what it may refuse.
 * @param attempt - The attempt's number, from 1.
 * @param runAlone - Whether no other request may run beside it.
 * @param signal - Aborted when the caller has gone or the deadline has passed.
 * @returns How the attempt failed; undefined where the answer is whole.
 */
export async function* dispatchAttempt(
    parts: RunnerParts,
    request: AdmittedRequest,
    state: AttemptState,
    step: RouteStep,
    attempt: number,
    runAlone: boolean,
    signal: AbortSignal,
): AsyncGenerator<AnswerEvent, AttemptFailure | undefined> {
    const { directory, link, placement } = parts;
    const { sidecar } = step;
    const { address, incarnation, instanceId } = sidecar;
    const { requestId } = request;
    const target: AttemptTarget = { instanceId, address, incarnation, requestId, attempt, isClaimed: false };
    const dispatch = createDispatchRequest(parts, request, state, step, attempt, { runAlone });
    const heldBefore = state.getHeldText().tokens;
    let evidence: RunEvidence = { kind: "answerLost" };
    let queueMilliseconds = 0;
    placement.addObservation({ kind: "dispatched", instanceId });
    for await (const followed of followAttempt(parts, target, dispatch, signal)) {
        if (followed.kind === "stopped") {
            return stop(followed);
        }
        const { event } = followed;
        if (event.event.case === "refused") {
            takeRefusal(event.event.value);
            const { configurationRevision, message, reason, retryAfterMilliseconds, runState } = event.event.value;
            const said = getRunState({ kind: "sidecarSaid", runState });
            return { reason, message, retryAfterMilliseconds, configurationRevision, runState: said };
        }
        const answer = take(event);
        if (answer === "wrongVersion") {
            state.exclude(instanceId);
            placement.addObservation({ kind: "cancelled", instanceId });
            link.cancel(address, requestId, attempt);
            return fail(RefusalReason.WRONG_VERSION, "The engine serves another version than was asked for.");
        }
        if (answer !== undefined) {
            yield answer;
        }
        if (event.event.case === "end") {
            return undefined;
        }
    }
    return fail(RefusalReason.LINK_LOST, "The answer broke off.");

    /** Takes in what an event tells, and turns it into a part of the answer. */
    function take(event: DispatchEvent): AnswerEvent | "wrongVersion" | undefined {
        const answer = getAnswerEvent(event, instanceId);
        switch (answer?.kind) {
            case "started":
                evidence = { kind: "handedToBackend" };
                queueMilliseconds = event.event.case === "started" ? event.event.value.queueMilliseconds : 0;
                return isVersionRight(answer.version) ? answer : "wrongVersion";
            case "text":
                state.addText(answer.text, answer.tokens);
                return answer;
            case "head":
                state.setAnswerBegun();
                return answer;
            case "end":
                noteAnswer(answer.end);
                return { kind: "end", end: getWholeEnd(answer.end) };
            case "body":
            case "refused":
            case undefined:
                return answer;
            default:
                return assertNever(answer);
        }
    }

    function isVersionRight(version: string): boolean {
        return request.work.kind === "service" || version === state.getVersion();
    }

    function noteAnswer(end: End): void {
        const hashes = state.getHashes();
        placement.addObservation({
            kind: "answered",
            instanceId,
            cachedTokens: end.cachedPromptTokens,
            queueMilliseconds,
            hashes,
        });
    }

    /** Gets the end with the usage of the whole answer, of which the engine has seen the last part only. */
    function getWholeEnd(end: End): End {
        return heldBefore === 0 ? end : create(EndSchema, { ...end, completionTokens: state.getHeldText().tokens });
    }

    /** Takes in what a refusal says of the sidecar and of the others. */
    function takeRefusal(refused: Refused): void {
        noteRefusal(parts, sidecar, refused);
        if (refused.reason === RefusalReason.BETTER_SIBLING && refused.hint !== undefined) {
            const { predictedCostMilliseconds, spread } = refused.hint;
            state.addQuote(instanceId, { costMilliseconds: predictedCostMilliseconds, replicaCount: spread });
        }
        else {
            state.exclude(instanceId);
        }
    }

    /** Takes in why the attempt can't be followed to its end. */
    function stop(stopped: Extract<AttemptStreamEvent, { kind: "stopped"; }>): AttemptFailure {
        state.exclude(instanceId);
        if (stopped.cause === "aborted") {
            placement.addObservation({ kind: "cancelled", instanceId });
            link.cancel(address, requestId, attempt);
            return fail(RefusalReason.CANCELLED, "The request was given up.");
        }
        if (stopped.cause === "notConnected") {
            evidence = { kind: "sidecarNotConnected" };
        }
        placement.addObservation({ kind: "failed", instanceId });
        if (stopped.cause === "notConnected" || stopped.cause === "lost") {
            directory.addSuspicion(instanceId, incarnation);
        }
        const isUnreached = stopped.cause === "notConnected" || evidence.kind === "answerLost";
        return isUnreached
            ? fail(RefusalReason.BACKEND_UNREACHABLE, "The companion could not be reached.")
            : fail(RefusalReason.LINK_LOST, "The answer broke off.");
    }

    function fail(reason: RefusalReason, message: string): AttemptFailure {
        const runState: RunState = getRunState(evidence);
        return { reason, message, runState, retryAfterMilliseconds: 0, configurationRevision: 0n };
    }
}
