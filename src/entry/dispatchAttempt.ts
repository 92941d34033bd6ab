/*
 * Makes one attempt at an idempotent request: dispatches it to one sidecar and passes on the events of the response.
 */
import { create } from "@bufbuild/protobuf";
import { assertNever } from "../errors";
import { getRunState, RunEvidence } from "../outcome";
import { DispatchEvent, End, EndSchema, RefusalReason, Refused, RunState } from "../protocol";
import { RouteStep } from "../routing";
import { AdmittedRequest } from "./AdmittedRequest";
import { AttemptFailure } from "./AttemptFailure";
import { createDispatchRequest } from "./createDispatchRequest";
import { getResponseEvent } from "./getResponseEvent";
import { recordRefusal } from "./recordRefusal";
import { RequestState } from "./RequestState";
import { ResponseEvent } from "./ResponseEvent";
import { RunnerOptions } from "./RunnerOptions";
import { AttemptStreamEvent, AttemptTarget, followAttempt } from "./sidecars";

/**
 * Makes one attempt at an idempotent request.
 * @param options - The runner's options.
 * @param request - The admitted request.
 * @param state - The state that all attempts at the request share.
 * @param step - The sidecar to dispatch to, and whether it may redirect the request.
 * @param attempt - The attempt's number, from 1.
 * @param runAlone - Whether the request must run with no other request on the same engine.
 * @param signal - Aborted when the caller has disconnected or the deadline has passed.
 * @returns The failure of the attempt; undefined where the response is complete.
 */
export async function* dispatchAttempt(
    options: RunnerOptions,
    request: AdmittedRequest,
    state: RequestState,
    step: RouteStep,
    attempt: number,
    runAlone: boolean,
    signal: AbortSignal,
): AsyncGenerator<ResponseEvent, AttemptFailure | undefined> {
    const { directory, link, placement } = options;
    const { sidecar } = step;
    const { address, incarnation, instanceId } = sidecar;
    const { requestId } = request;
    const target: AttemptTarget = { instanceId, address, incarnation, requestId, attempt, isClaimed: false };
    const dispatch = createDispatchRequest(options, request, state, step, attempt, { runAlone });
    const tokensBefore = state.getDeliveredText().tokens;
    let evidence: RunEvidence = { kind: "responseLost" };
    let queueMilliseconds = 0;
    placement.addObservation({ kind: "dispatched", instanceId });
    for await (const followed of followAttempt(options, target, dispatch, signal)) {
        if (followed.kind === "stopped") {
            return handleStop(followed);
        }
        const { event } = followed;
        if (event.event.case === "refused") {
            handleRefusal(event.event.value);
            const { configurationRevision, message, reason, retryAfterMilliseconds, runState } = event.event.value;
            const reportedRunState = getRunState({ kind: "sidecarReported", runState });
            return { reason, message, retryAfterMilliseconds, configurationRevision, runState: reportedRunState };
        }
        const responseEvent = handleEvent(event);
        if (responseEvent === "wrongVersion") {
            state.exclude(instanceId);
            placement.addObservation({ kind: "cancelled", instanceId });
            link.cancel(address, requestId, attempt);
            return createFailure(RefusalReason.WRONG_VERSION, "The engine serves another version than was asked for.");
        }
        if (responseEvent !== undefined) {
            yield responseEvent;
        }
        if (event.event.case === "end") {
            return undefined;
        }
    }
    return createFailure(RefusalReason.LINK_LOST, "The answer broke off.");

    /** Updates the request's state from an event, and converts it to an event of the response. */
    function handleEvent(event: DispatchEvent): ResponseEvent | "wrongVersion" | undefined {
        const responseEvent = getResponseEvent(event, instanceId);
        switch (responseEvent?.kind) {
            case "started":
                evidence = { kind: "handedToBackend" };
                queueMilliseconds = event.event.case === "started" ? event.event.value.queueMilliseconds : 0;
                return isExpectedVersion(responseEvent.version) ? responseEvent : "wrongVersion";
            case "text":
                state.addDeliveredText(responseEvent.text, responseEvent.tokens);
                return responseEvent;
            case "head":
                state.setResponseStarted();
                return responseEvent;
            case "end":
                observeCompletion(responseEvent.end);
                return { kind: "end", end: getCombinedEnd(responseEvent.end) };
            case "body":
            case "refused":
            case undefined:
                return responseEvent;
            default:
                return assertNever(responseEvent);
        }
    }

    function isExpectedVersion(version: string): boolean {
        return request.work.kind === "service" || version === state.getVersion();
    }

    function observeCompletion(end: End): void {
        const hashes = state.getPrefixHashes();
        placement.addObservation({
            kind: "answered",
            instanceId,
            cachedTokens: end.cachedPromptTokens,
            queueMilliseconds,
            hashes,
        });
    }

    /** Gets the end with the usage of the whole response; the engine has counted only the tokens of this attempt. */
    function getCombinedEnd(end: End): End {
        return tokensBefore === 0
            ? end
            : create(EndSchema, { ...end, completionTokens: state.getDeliveredText().tokens });
    }

    /** Records a refusal, and adds the sidecar's cost estimate or excludes the sidecar. */
    function handleRefusal(refused: Refused): void {
        recordRefusal(options, sidecar, refused);
        if (refused.reason === RefusalReason.BETTER_SIBLING && refused.hint !== undefined) {
            const { predictedCostMilliseconds, spread } = refused.hint;
            state.addEstimate(instanceId, { costMilliseconds: predictedCostMilliseconds, replicaCount: spread });
        }
        else {
            state.exclude(instanceId);
        }
    }

    /** Handles an attempt whose events ended early, and gets its failure. */
    function handleStop(stopped: Extract<AttemptStreamEvent, { kind: "stopped"; }>): AttemptFailure {
        state.exclude(instanceId);
        if (stopped.cause === "aborted") {
            placement.addObservation({ kind: "cancelled", instanceId });
            link.cancel(address, requestId, attempt);
            return createFailure(RefusalReason.CANCELLED, "The request was given up.");
        }
        if (stopped.cause === "notConnected") {
            evidence = { kind: "sidecarNotConnected" };
        }
        placement.addObservation({ kind: "failed", instanceId });
        if (stopped.cause === "notConnected" || stopped.cause === "lost") {
            directory.addSuspicion(instanceId, incarnation);
        }
        const isUnreachable = stopped.cause === "notConnected" || evidence.kind === "responseLost";
        return isUnreachable
            ? createFailure(RefusalReason.BACKEND_UNREACHABLE, "The companion could not be reached.")
            : createFailure(RefusalReason.LINK_LOST, "The answer broke off.");
    }

    function createFailure(reason: RefusalReason, message: string): AttemptFailure {
        const runState: RunState = getRunState(evidence);
        return { reason, message, runState, retryAfterMilliseconds: 0, configurationRevision: 0n };
    }
}
