/*
 * Follows a claimed attempt at the sidecar that its claim names, until what became of it is known.
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
import { AnswerEvent } from "../AnswerEvent";
import { getAnswerEvent } from "../getAnswerEvent";
import { noteRefusal } from "../noteRefusal";
import { RunnerParts } from "../RunnerParts";
import { AttemptTarget, followAttempt } from "../sidecars";
import { ClaimedAttemptOutcome } from "./ClaimedAttemptOutcome";

const maximumRecoveries = 5;
const recoveryIntervalMilliseconds = 100;

/**
 * Follows a claimed attempt.
 * @param claim - The claim, open.
 * @param sidecar - What the directory knows of the sidecar; undefined where it knows nothing.
 * @param dispatch - The message that starts the attempt; undefined where another delivery has dispatched it.
 * @param forwardEvent - Passes a part of the answer on.
 * @param signal - Ends the following; what became of the attempt stays unknown then.
 */
export async function followClaimedAttempt(
    parts: RunnerParts,
    claim: Claim,
    sidecar: ProcessRecord | undefined,
    dispatch: DispatchRequest | undefined,
    forwardEvent: (event: AnswerEvent) => Promise<void>,
    signal: AbortSignal,
): Promise<ClaimedAttemptOutcome> {
    const { clock, directory, link } = parts;
    const collector = createResponseCollector();
    let evidence: RunEvidence = { kind: "answerLost" };
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

    /** Asks the sidecar what it knows of the number, which forbids it where it was never seen. */
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

    /** Asks at the address that the claim names, and at the one where the instance is now. */
    async function forbid(): Promise<ForbidAttemptResponse | undefined> {
        const response = await link.forbid(claim.companionAddress, claim.number!, claim.companionIncarnation);
        const address = directory.getRecord(claim.companion)?.address;
        if (response !== undefined || address === undefined || address === claim.companionAddress) {
            return response;
        }
        return link.forbid(address, claim.number!, claim.companionIncarnation);
    }

    /** Tells whether the control members hold the claim's incarnation for gone. */
    function isSidecarTerminated(): boolean {
        const record = directory.getRecord(claim.companion);
        return record?.state === ProcessState.GONE && record.incarnation === claim.companionIncarnation;
    }

    /** Follows the attempt's answer; undefined where it is to be asked for again. */
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
                case "gone":
                    return getSidecarLostOutcome();
                case "cut":
                    return { kind: "unanswered", runState: RunState.RAN, message: "The answer is no longer kept." };
                case "unseen":
                    return dispatchRequest === undefined ? getSidecarLostOutcome() : undefined;
                case "lost":
                case "aborted":
                    return undefined;
            }
        }
        return undefined;
    }

    /** Takes the next event in; one that came before, over another connection, is left out. */
    async function handleEvent(event: DispatchEvent): Promise<ClaimedAttemptOutcome | undefined> {
        if (event.sequence <= lastSequence) {
            return undefined;
        }
        lastSequence = event.sequence;
        collector.addEvent(event.event);
        if (event.event.case === "refused") {
            return handleRefusal(event.event.value);
        }
        const responseEvent = getAnswerEvent(event, claim.companion);
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
            return { kind: "unanswered", runState: getRunState(evidence), message: "The answer had no head." };
        }
        return { kind: "answered", response };
    }

    /** Takes the sidecar's word for how the attempt ended. */
    function handleRefusal(refused: Refused): ClaimedAttemptOutcome {
        if (sidecar !== undefined) {
            noteRefusal(parts, sidecar, refused);
        }
        const { message, reason, retryAfterMilliseconds } = refused;
        const reportedRunState = getRunState({ kind: "sidecarSaid", runState: refused.runState });
        if (reportedRunState === RunState.NOT_RUN) {
            return { kind: "notRun", reason, message, retryAfterMilliseconds };
        }
        return { kind: "unanswered", runState: combineRunStates(reportedRunState, getRunState(evidence)), message };
    }

    function getSidecarLostOutcome(): ClaimedAttemptOutcome {
        const runState = combineRunStates(getRunState(evidence), getRunState({ kind: "sidecarLost" }));
        return { kind: "unanswered", runState, message: "The companion that may have run the request is gone." };
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
