/*
 * Runs one request that may not be repeated: opens the claim, dispatches the request under the claim's fencing token,
 * follows the attempt until its outcome is known, and settles the claim with it. An attempt that is proved not to have
 * run is followed by another one.
 */
import { create } from "@bufbuild/protobuf";
import { RetryReason } from "../../metrics";
import { Claim, ClaimState, RefusalReason, RunState, StoredAnswerSchema } from "../../protocol";
import { RouteStep } from "../../routing";
import { createDispatchRequest } from "../createDispatchRequest";
import { findSidecar } from "../findSidecar";
import { getRetryReason } from "../getRetryReason";
import { RefusalDetails } from "../RefusalDetails";
import { RunnerOptions } from "../RunnerOptions";
import { ClaimClient } from "./ClaimClient";
import { ClaimedAttemptOutcome } from "./ClaimedAttemptOutcome";
import { ClaimedTask } from "./ClaimedTask";
import { claimRefusals } from "./claimRefusals";
import { followClaimedAttempt } from "./followClaimedAttempt";
import { getStoredResponseEvents } from "./getStoredResponseEvents";

const maximumAttempts = 16;
const maximumRetryDelayMilliseconds = 50;
const abandonTimeoutMilliseconds = 2_000;

/** The result of one attempt: another one follows, or the task ends with a refusal or with its response forwarded. */
type TaskStep = { kind: "retry"; } | { kind: "done"; refusal: RefusalDetails | undefined; };

/**
 * Runs a claimed request.
 * @param parts - The parts that all requests of the entry process share.
 * @param claims - The client that opens and settles claims.
 * @param task - The request and its state; the function updates `evidence`.
 * @returns Why there is no response; undefined if the response, or a refusal, has already been sent over the channel.
 */
export async function runClaimedTask(
    parts: RunnerOptions,
    claims: ClaimClient,
    task: ClaimedTask,
): Promise<RefusalDetails | undefined> {
    const { clock, directory, metrics, random } = parts;
    const { channel, idempotencyKey, request, signal, state } = task;
    const hasCallerKey = request.idempotencyKey !== undefined;
    let notRunClaim: Claim | undefined;
    let lastRefusal: RefusalDetails | undefined;
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

    /** Returns whether to wait for a sidecar if none is left: waiting doesn't help if they refused as overloaded. */
    function mayWaitForSidecar(): boolean {
        return lastRefusal === undefined || getRetryReason(lastRefusal.reason) !== RetryReason.Overloaded;
    }

    /** Dispatches the request under its claim. Must be called once for each fencing token. */
    function dispatch(claim: Claim, routeStep: RouteStep, attempt: number): Promise<ClaimedAttemptOutcome> {
        task.evidence = { kind: "responseLost" };
        const extras = { claim: { number: claim.number, idempotencyKey } };
        const message = createDispatchRequest(parts, request, state, routeStep, attempt, extras);
        return followClaimedAttempt(parts, claim, routeStep.sidecar, message, channel.push, signal);
    }

    /** Follows the attempt of the other delivery that holds the claim. */
    function followHolder(claim: Claim): Promise<ClaimedAttemptOutcome> {
        task.evidence = { kind: "claimHeldElsewhere" };
        state.clearExclusions();
        const holder = directory.getRecord(claim.companion);
        return followClaimedAttempt(parts, claim, holder, undefined, channel.push, signal);
    }

    /** Settles the claim with an attempt's outcome, or prepares the next attempt. */
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
        task.evidence = { kind: "sidecarReported", runState: outcome.runState };
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

    /** Retries once if the claim belongs to another delivery, which may have settled it by then. */
    function handleUnreachable(isOwnClaim: boolean): TaskStep {
        if (isOwnClaim || hasRetriedHolder) {
            return createDoneStep(claimRefusals.sidecarUnreachable);
        }
        hasRetriedHolder = true;
        return { kind: "retry" };
    }

    /** Prepares the next attempt, which presents this attempt's claim as the one that will never run. */
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
        await clock.sleep(maximumRetryDelayMilliseconds * random.getFraction(), signal);
        return { kind: "retry" };
    }

    /**
     * Ends the request as not run, if the replicated log confirms that no other delivery has continued it.
     * @param refusal - The refusal to return.
     * @param isKeyNew - Whether the control members have just reported that the key has no claim.
     * @returns The refusal, after `evidence` is updated.
     */
    async function abandonRequest(refusal: RefusalDetails, isKeyNew = false): Promise<RefusalDetails> {
        if (notRunClaim === undefined) {
            task.evidence = isKeyNew ? { kind: "nothingDispatched" } : task.evidence;
            return refusal;
        }
        const settled = await claims.settle(notRunClaim, ClaimState.ABANDONED, undefined, abandonTimeoutMilliseconds);
        const isAbandoned = settled?.state === ClaimState.ABANDONED || !hasCallerKey;
        task.evidence = isAbandoned ? { kind: "attemptForbidden" } : { kind: "claimHeldElsewhere" };
        return refusal;
    }

    /** Responds with the outcome that is recorded in a claim. */
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

function createDoneStep(refusal: RefusalDetails | undefined): TaskStep {
    return { kind: "done", refusal };
}
