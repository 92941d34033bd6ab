/*
 * Runs one request that may not be repeated, written straight down: open the claim, dispatch under its number, follow
 * the attempt until what became of it is known, and record that.
 */
import { create } from "@bufbuild/protobuf";
import { RetryReason } from "../../metrics";
import { Claim, ClaimState, RefusalReason, RunState, StoredAnswerSchema } from "../../protocol";
import { RouteStep } from "../../routing";
import { createDispatchRequest } from "../createDispatchRequest";
import { findSidecar } from "../findSidecar";
import { getRetryReason } from "../getRetryReason";
import { RefusalText } from "../RefusalText";
import { RunnerParts } from "../RunnerParts";
import { ClaimClient } from "./ClaimClient";
import { ClaimedAttemptOutcome } from "./ClaimedAttemptOutcome";
import { ClaimedTask } from "./ClaimedTask";
import { claimRefusals } from "./claimRefusals";
import { followClaimedAttempt } from "./followClaimedAttempt";
import { getStoredResponseEvents } from "./getStoredResponseEvents";

const maximumAttempts = 16;
const maximumRetryDelayMilliseconds = 50;
const abandonTimeoutMilliseconds = 2_000;

/** What a step of the task leads to: another attempt, the answer, or a refusal. */
type TaskStep = { kind: "again"; } | { kind: "done"; refusal: RefusalText | undefined; };

/**
 * Runs a claimed request.
 * @param claims - The claims in the replicated log.
 * @param task - The request, whose evidence is kept up to date.
 * @returns Why there is no answer; undefined where the answer has been passed on.
 */
export async function runClaimedTask(
    parts: RunnerParts,
    claims: ClaimClient,
    task: ClaimedTask,
): Promise<RefusalText | undefined> {
    const { clock, directory, metrics, random } = parts;
    const { channel, idempotencyKey, request, signal, state } = task;
    const hasCallerKey = request.idempotencyKey !== undefined;
    let notRunClaim: Claim | undefined;
    let lastRefusal: RefusalText | undefined;
    let hasRetriedHolder = false;
    for (let attempt = 1; attempt <= maximumAttempts; attempt++) {
        if (clock.getMonotonicMilliseconds() >= request.deadlineMilliseconds) {
            return abandonRequest(claimRefusals.deadlinePassed);
        }
        const step = await runAttempt(attempt);
        if (step.kind === "done") {
            return step.refusal;
        }
    }
    return abandonRequest(lastRefusal ?? claimRefusals.noReplica);

    async function runAttempt(attempt: number): Promise<TaskStep> {
        const routeStep = await findSidecar(parts, state, mayWaitForSidecar(), signal);
        const sidecar = routeStep?.sidecar;
        if (sidecar !== undefined) {
            state.exclude(sidecar.instanceId);
        }
        const opened = await claims.open(request, idempotencyKey, sidecar, notRunClaim?.number);
        switch (opened.kind) {
            case "granted":
                notRunClaim = opened.claim;
                if (task.hasRefusedCaller) {
                    return createDoneStep(await abandonRequest(claimRefusals.deadlinePassed));
                }
                notRunClaim = undefined;
                return handleOutcome(opened.claim, await dispatch(opened.claim, routeStep!, attempt), true);
            case "held":
                notRunClaim = undefined;
                return handleOutcome(opened.claim, await followHolder(opened.claim), false);
            case "settled":
                return handleSettled(opened.claim);
            case "absent":
                return createDoneStep(await abandonRequest(lastRefusal ?? claimRefusals.noReplica, true));
            case "bodyDiffers":
                task.evidence = { kind: "nothingDispatched" };
                return createDoneStep(claimRefusals.keyReused);
            case "full":
                task.evidence = { kind: "nothingDispatched" };
                return createDoneStep(claimRefusals.idempotencyKeysFull);
            case "unavailable":
                task.evidence = { kind: "claimNotOpened", mayHaveRunBefore: hasCallerKey };
                return createDoneStep(claimRefusals.noQuorum);
        }
    }

    /** Tells whether waiting for a sidecar may help: not where all of them have refused for lack of room. */
    function mayWaitForSidecar(): boolean {
        return lastRefusal === undefined || getRetryReason(lastRefusal.reason) !== RetryReason.Overloaded;
    }

    /** Dispatches the request under its claim, once. */
    function dispatch(claim: Claim, routeStep: RouteStep, attempt: number): Promise<ClaimedAttemptOutcome> {
        task.evidence = { kind: "answerLost" };
        const extras = { claim: { number: claim.number, idempotencyKey } };
        const message = createDispatchRequest(parts, request, state, routeStep, attempt, extras);
        return followClaimedAttempt(parts, claim, routeStep.sidecar, message, channel.push, signal);
    }

    /** Waits for the answer of the delivery that holds the claim. */
    function followHolder(claim: Claim): Promise<ClaimedAttemptOutcome> {
        task.evidence = { kind: "claimHeldElsewhere" };
        state.clearExclusions();
        const holder = directory.getRecord(claim.companion);
        return followClaimedAttempt(parts, claim, holder, undefined, channel.push, signal);
    }

    /** Records how an attempt ended. */
    async function handleOutcome(claim: Claim, outcome: ClaimedAttemptOutcome, isOwnClaim: boolean): Promise<TaskStep> {
        switch (outcome.kind) {
            case "answered":
                task.evidence = { kind: "handedToBackend" };
                channel.close();
                await claims.settle(claim, ClaimState.ANSWERED, outcome.response);
                return createDoneStep(undefined);
            case "unanswered":
                return handleUnanswered(claim, outcome);
            case "unreachable":
                return handleUnreachable(isOwnClaim);
            case "notRun":
                return handleNotRun(claim, outcome, isOwnClaim);
        }
    }

    async function handleUnanswered(
        claim: Claim,
        outcome: Extract<ClaimedAttemptOutcome, { kind: "unanswered"; }>,
    ): Promise<TaskStep> {
        task.evidence = { kind: "sidecarSaid", runState: outcome.runState };
        const hasRun = outcome.runState === RunState.RAN;
        const refusal = hasRun ? claimRefusals.responseNotStored : claimRefusals.outcomeUnknown;
        await channel.push({ kind: "refused", refusal: { ...refusal, runState: outcome.runState } });
        channel.close();
        if (hasRun) {
            await claims.settle(claim, ClaimState.ANSWERED, create(StoredAnswerSchema, { truncated: true }));
        }
        else {
            await claims.settle(claim, ClaimState.UNKNOWN);
        }
        return createDoneStep(undefined);
    }

    /** Looks once more at a claim that another delivery may have settled by now. */
    function handleUnreachable(isOwnClaim: boolean): TaskStep {
        if (isOwnClaim || hasRetriedHolder) {
            return createDoneStep(claimRefusals.sidecarUnreachable);
        }
        hasRetriedHolder = true;
        return { kind: "again" };
    }

    /** Goes on to another attempt, for which the proof against this one is needed. */
    async function handleNotRun(
        claim: Claim,
        outcome: Extract<ClaimedAttemptOutcome, { kind: "notRun"; }>,
        isOwnClaim: boolean,
    ): Promise<TaskStep> {
        notRunClaim = claim;
        task.evidence = { kind: "claimNotOpened", mayHaveRunBefore: hasCallerKey };
        const retryReason = isOwnClaim ? getRetryReason(outcome.reason) : RetryReason.ForbiddenAttempt;
        if (retryReason === undefined) {
            return createDoneStep(await abandonRequest(outcome));
        }
        metrics.countRetry(retryReason);
        lastRefusal = isOwnClaim && outcome.reason !== RefusalReason.ATTEMPT_FORBIDDEN ? outcome : lastRefusal;
        await clock.sleep(maximumRetryDelayMilliseconds * random.getUnit(), signal);
        return { kind: "again" };
    }

    /**
     * Ends the request as not run, where the log agrees that no other delivery has gone on with it.
     * @param isKeyNew - Whether the log has just said that the key is not known.
     */
    async function abandonRequest(refusal: RefusalText, isKeyNew = false): Promise<RefusalText> {
        if (notRunClaim === undefined) {
            task.evidence = isKeyNew ? { kind: "nothingDispatched" } : task.evidence;
            return refusal;
        }
        const settled = await claims.settle(notRunClaim, ClaimState.ABANDONED, undefined, abandonTimeoutMilliseconds);
        const isAbandoned = settled?.state === ClaimState.ABANDONED || !hasCallerKey;
        task.evidence = isAbandoned ? { kind: "numberForbidden" } : { kind: "claimHeldElsewhere" };
        return refusal;
    }

    /** Answers from what is recorded of a claim. */
    async function handleSettled(claim: Claim): Promise<TaskStep> {
        if (claim.state === ClaimState.UNKNOWN) {
            task.evidence = { kind: "sidecarLost" };
            return createDoneStep(claimRefusals.outcomeUnknown);
        }
        task.evidence = { kind: "handedToBackend" };
        if (claim.answer === undefined || claim.answer.truncated) {
            return createDoneStep(claimRefusals.responseNotStored);
        }
        for (const event of getStoredResponseEvents(claim.answer)) {
            await channel.push(event);
        }
        return createDoneStep(undefined);
    }
}

function createDoneStep(refusal: RefusalText | undefined): TaskStep {
    return { kind: "done", refusal };
}
