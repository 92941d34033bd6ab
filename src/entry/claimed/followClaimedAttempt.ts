/*
 * Follows a claimed attempt at the sidecar that its claim names, until the attempt's outcome is known.
 */
import { combineRunStates, createResponseCollector, getRunState, RunEvidence } from "../../outcome";
import {
    AttemptState,
    Claim,
    DispatchEvent,
    DispatchRequest,
    ForbidAttemptResponse,
    ProcessRecord,
    ProcessState,
    RefusalReason,
    Refused,
    RunState,
} from "../../protocol";
import { getResponseEvent } from "../getResponseEvent";
import { recordRefusal } from "../recordRefusal";
import { ResponseEvent } from "../ResponseEvent";
import { RunnerOptions } from "../RunnerOptions";
import { AttemptTarget, followAttempt } from "../sidecars";
import { ClaimedAttemptOutcome } from "./ClaimedAttemptOutcome";

const maximumRecoveries = 5;
const recoveryIntervalMilliseconds = 100;

/**
 * Follows a claimed attempt. If its response breaks off, asks the sidecar for the attempt's state, which forbids an
 * attempt that the sidecar has never seen, and resumes the response of one that has run.
 * @param parts - The parts that all requests of the entry process share.
 * @param claim - The open claim.
 * @param sidecar - The sidecar's record in the directory; undefined if the directory has none.
 * @param dispatch - The message that starts the attempt; undefined if another delivery has dispatched it.
 * @param forwardEvent - Forwards one event of the response.
 * @param signal - Stops following; the outcome is then "unreachable".
 * @returns The attempt's outcome; "unreachable" after several failures to reach the sidecar.
 */
export async function followClaimedAttempt(
    parts: RunnerOptions,
    claim: Claim,
    sidecar: ProcessRecord | undefined,
    dispatch: DispatchRequest | undefined,
    forwardEvent: (event: ResponseEvent) => Promise<void>,
    signal: AbortSignal,
): Promise<ClaimedAttemptOutcome> {
    const { clock, directory, link } = parts;
    const collector = createResponseCollector();
    let evidence: RunEvidence = { kind: "responseLost" };
    let lastSequence = 0n;
    if (dispatch !== undefined) {
        const end = await follow(dispatch.requestId, dispatch.attempt, dispatch);
        if (end !== undefined) {
            return end;
        }
    }
    for (let recovery = 0; recovery < maximumRecoveries && !signal.aborted; recovery++) {
        const end = await recoverAttempt();
        if (end !== undefined) {
            return end;
        }
        await clock.sleep(recoveryIntervalMilliseconds, signal);
    }
    return { kind: "unreachable" };

    /** Asks the sidecar for the attempt's state and acts on it; undefined if the sidecar has to be asked again. */
    async function recoverAttempt(): Promise<ClaimedAttemptOutcome | undefined> {
        const response = await forbid();
        switch (response?.state) {
            case undefined:
                return isSidecarTerminated() ? getSidecarLostOutcome() : undefined;
            case AttemptState.FORBIDDEN:
                return { kind: "notRun", ...getForbiddenRefusal() };
            case AttemptState.RUNNING:
            case AttemptState.ENDED:
                return follow(response!.requestId, response!.attempt, undefined);
            case AttemptState.INCARNATION_GONE:
            case AttemptState.FORGOTTEN:
            case AttemptState.UNSPECIFIED:
                return getSidecarLostOutcome();
        }
    }

    /**
     * Asks for the state of the claim's fencing token, which forbids the token if the sidecar has never seen it. If the
     * address in the claim doesn't respond, asks the instance's present address.
     */
    async function forbid(): Promise<ForbidAttemptResponse | undefined> {
        const response = await link.forbid(claim.companionAddress, claim.number!, claim.companionIncarnation);
        const address = directory.getRecord(claim.companion)?.address;
        if (response !== undefined || address === undefined || address === claim.companionAddress) {
            return response;
        }
        return link.forbid(address, claim.number!, claim.companionIncarnation);
    }

    /** Returns whether the directory has the claim's incarnation of the sidecar as terminated. */
    function isSidecarTerminated(): boolean {
        const record = directory.getRecord(claim.companion);
        return record?.state === ProcessState.GONE && record.incarnation === claim.companionIncarnation;
    }

    /**
     * Follows the attempt's response.
     * @param dispatchRequest - The message that starts the attempt; undefined to resume an attempt that has started.
     * @returns The outcome; undefined if the sidecar has to be asked for the attempt's state.
     */
    async function follow(
        requestId: string,
        attempt: number,
        dispatchRequest: DispatchRequest | undefined,
    ): Promise<ClaimedAttemptOutcome | undefined> {
        const target: AttemptTarget = {
            instanceId: claim.companion,
            address: claim.companionAddress,
            incarnation: claim.companionIncarnation,
            requestId,
            attempt,
            isClaimed: true,
        };
        for await (const followed of followAttempt(parts, target, dispatchRequest, signal)) {
            if (followed.kind === "event") {
                const end = await handleEvent(followed.event);
                if (end !== undefined) {
                    return end;
                }
                continue;
            }
            switch (followed.cause) {
                case "notConnected":
                    directory.addSuspicion(claim.companion, claim.companionIncarnation);
                    return { kind: "notRun", ...getNotConnectedRefusal() };
                case "restarted":
                    return getSidecarLostOutcome();
                case "discarded":
                    return { kind: "unanswered", runState: RunState.RAN, message: "The response is no longer stored." };
                case "unknown":
                    return dispatchRequest === undefined ? getSidecarLostOutcome() : undefined;
                case "lost":
                case "aborted":
                    return undefined;
            }
        }
        return undefined;
    }

    /** Handles the next event of the response; skips one that has already come over an earlier connection. */
    async function handleEvent(event: DispatchEvent): Promise<ClaimedAttemptOutcome | undefined> {
        if (event.sequence <= lastSequence) {
            return undefined;
        }
        lastSequence = event.sequence;
        collector.addEvent(event.event);
        if (event.event.case === "refused") {
            return handleRefusal(event.event.value);
        }
        const responseEvent = getResponseEvent(event, claim.companion);
        if (responseEvent?.kind === "head") {
            evidence = { kind: "handedToBackend" };
        }
        if (responseEvent?.kind === "head" || responseEvent?.kind === "body" || responseEvent?.kind === "end") {
            await forwardEvent(responseEvent);
        }
        return responseEvent?.kind === "end" ? getEndOutcome() : undefined;
    }

    function getEndOutcome(): ClaimedAttemptOutcome {
        const response = collector.getResponse();
        if (response === undefined) {
            return {
                kind: "unanswered",
                runState: getRunState(evidence),
                message: "The response had no status.",
            };
        }
        return { kind: "answered", response };
    }

    /** Gets the outcome from the run state that the sidecar reports in its refusal. */
    function handleRefusal(refused: Refused): ClaimedAttemptOutcome {
        if (sidecar !== undefined) {
            recordRefusal(parts, sidecar, refused);
        }
        const { message, reason, retryAfterMilliseconds } = refused;
        const reportedRunState = getRunState({ kind: "sidecarReported", runState: refused.runState });
        if (reportedRunState === RunState.NOT_RUN) {
            return { kind: "notRun", reason, message, retryAfterMilliseconds };
        }
        return { kind: "unanswered", runState: combineRunStates(reportedRunState, getRunState(evidence)), message };
    }

    function getSidecarLostOutcome(): ClaimedAttemptOutcome {
        const runState = combineRunStates(getRunState(evidence), getRunState({ kind: "sidecarLost" }));
        return { kind: "unanswered", runState, message: "The sidecar that may have run the request has terminated." };
    }
}

function getForbiddenRefusal(): Omit<Extract<ClaimedAttemptOutcome, { kind: "notRun"; }>, "kind"> {
    const message = "The attempt never reached its companion.";
    return { reason: RefusalReason.ATTEMPT_FORBIDDEN, message, retryAfterMilliseconds: 0 };
}

function getNotConnectedRefusal(): Omit<Extract<ClaimedAttemptOutcome, { kind: "notRun"; }>, "kind"> {
    const message = "The companion could not be reached.";
    return { reason: RefusalReason.BACKEND_UNREACHABLE, message, retryAfterMilliseconds: 0 };
}
