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
import { ClaimedEnd } from "./ClaimedEnd";
import { ClaimedTask } from "./ClaimedTask";
import { claimRefusals } from "./claimRefusals";
import { followClaimedAttempt } from "./followClaimedAttempt";
import { getStoredEvents } from "./getStoredEvents";

const maximumAttempts = 16;
const pauseMilliseconds = 50;
const settlePatienceMilliseconds = 2_000;

/** What a step of the task leads to: another attempt, the answer, or a refusal. */
type Step = { kind: "again"; } | { kind: "done"; refusal: RefusalText | undefined; };

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
    const isKeyed = request.idempotencyKey !== undefined;
    let notRunClaim: Claim | undefined;
    let lastRefusal: RefusalText | undefined;
    let hasMissedHolder = false;
    for (let attempt = 1; attempt <= maximumAttempts; attempt++) {
        if (clock.getMonotonicMilliseconds() >= request.deadlineMilliseconds) {
            return giveUp(claimRefusals.deadline);
        }
        const step = await takeStep(attempt);
        if (step.kind === "done") {
            return step.refusal;
        }
    }
    return giveUp(lastRefusal ?? claimRefusals.noReplica);

    async function takeStep(attempt: number): Promise<Step> {
        const routeStep = await findSidecar(parts, state, mayWait(), signal);
        const sidecar = routeStep?.sidecar;
        if (sidecar !== undefined) {
            state.exclude(sidecar.instanceId);
        }
        const opened = await claims.open(request, idempotencyKey, sidecar, notRunClaim?.number);
        switch (opened.kind) {
            case "granted":
                notRunClaim = opened.claim;
                if (task.isCallerTold) {
                    return done(await giveUp(claimRefusals.deadline));
                }
                notRunClaim = undefined;
                return takeEnd(opened.claim, await dispatch(opened.claim, routeStep!, attempt), true);
            case "held":
                notRunClaim = undefined;
                return takeEnd(opened.claim, await join(opened.claim), false);
            case "settled":
                return takeSettled(opened.claim);
            case "absent":
                return done(await giveUp(lastRefusal ?? claimRefusals.noReplica, true));
            case "bodyDiffers":
                task.evidence = { kind: "nothingDispatched" };
                return done(claimRefusals.keyReused);
            case "full":
                task.evidence = { kind: "nothingDispatched" };
                return done(claimRefusals.full);
            case "unavailable":
                task.evidence = { kind: "claimNotOpened", mayHaveRunBefore: isKeyed };
                return done(claimRefusals.noQuorum);
        }
    }

    /** Tells whether waiting for a sidecar may help: not where all of them have refused for lack of room. */
    function mayWait(): boolean {
        return lastRefusal === undefined || getRetryReason(lastRefusal.reason) !== RetryReason.Overloaded;
    }

    /** Dispatches the request under its claim, once. */
    function dispatch(claim: Claim, routeStep: RouteStep, attempt: number): Promise<ClaimedEnd> {
        task.evidence = { kind: "answerLost" };
        const extras = { claim: { number: claim.number, idempotencyKey } };
        const message = createDispatchRequest(parts, request, state, routeStep, attempt, extras);
        return followClaimedAttempt(parts, claim, routeStep.sidecar, message, channel.push, signal);
    }

    /** Waits for the answer of the delivery that holds the claim. */
    function join(claim: Claim): Promise<ClaimedEnd> {
        task.evidence = { kind: "claimHeldElsewhere" };
        state.clearExclusions();
        const holder = directory.getRecord(claim.companion);
        return followClaimedAttempt(parts, claim, holder, undefined, channel.push, signal);
    }

    /** Records how an attempt ended. */
    async function takeEnd(claim: Claim, end: ClaimedEnd, isOwn: boolean): Promise<Step> {
        switch (end.kind) {
            case "answered":
                task.evidence = { kind: "handedToBackend" };
                channel.close();
                await claims.settle(claim, ClaimState.ANSWERED, end.answer);
                return done(undefined);
            case "unanswered":
                return takeUnanswered(claim, end);
            case "unreachable":
                return takeUnreachable(isOwn);
            case "notRun":
                return takeNotRun(claim, end, isOwn);
        }
    }

    async function takeUnanswered(claim: Claim, end: Extract<ClaimedEnd, { kind: "unanswered"; }>): Promise<Step> {
        task.evidence = { kind: "sidecarSaid", runState: end.runState };
        const hasRun = end.runState === RunState.RAN;
        const refusal = hasRun ? claimRefusals.notKept : claimRefusals.unknown;
        await channel.push({ kind: "refused", refusal: { ...refusal, runState: end.runState } });
        channel.close();
        if (hasRun) {
            await claims.settle(claim, ClaimState.ANSWERED, create(StoredAnswerSchema, { truncated: true }));
        }
        else {
            await claims.settle(claim, ClaimState.UNKNOWN);
        }
        return done(undefined);
    }

    /** Looks once more at a claim that another delivery may have settled by now. */
    function takeUnreachable(isOwn: boolean): Step {
        if (isOwn || hasMissedHolder) {
            return done(claimRefusals.unreachable);
        }
        hasMissedHolder = true;
        return { kind: "again" };
    }

    /** Goes on to another attempt, for which the proof against this one is needed. */
    async function takeNotRun(
        claim: Claim,
        end: Extract<ClaimedEnd, { kind: "notRun"; }>,
        isOwn: boolean,
    ): Promise<Step> {
        notRunClaim = claim;
        task.evidence = { kind: "claimNotOpened", mayHaveRunBefore: isKeyed };
        const retryReason = isOwn ? getRetryReason(end.reason) : RetryReason.ForbiddenAttempt;
        if (retryReason === undefined) {
            return done(await giveUp(end));
        }
        metrics.countRetry(retryReason);
        lastRefusal = isOwn && end.reason !== RefusalReason.ATTEMPT_FORBIDDEN ? end : lastRefusal;
        await clock.sleep(pauseMilliseconds * random.getUnit(), signal);
        return { kind: "again" };
    }

    /**
     * Ends the request as not run, where the log agrees that no other delivery has gone on with it.
     * @param isAbsent - Whether the log has just said that the key is not known.
     */
    async function giveUp(refusal: RefusalText, isAbsent = false): Promise<RefusalText> {
        if (notRunClaim === undefined) {
            task.evidence = isAbsent ? { kind: "nothingDispatched" } : task.evidence;
            return refusal;
        }
        const settled = await claims.settle(notRunClaim, ClaimState.ABANDONED, undefined, settlePatienceMilliseconds);
        const isAbandoned = settled?.state === ClaimState.ABANDONED || !isKeyed;
        task.evidence = isAbandoned ? { kind: "numberForbidden" } : { kind: "claimHeldElsewhere" };
        return refusal;
    }

    /** Answers from what is recorded of a claim. */
    async function takeSettled(claim: Claim): Promise<Step> {
        if (claim.state === ClaimState.UNKNOWN) {
            task.evidence = { kind: "sidecarLost" };
            return done(claimRefusals.unknown);
        }
        task.evidence = { kind: "handedToBackend" };
        if (claim.answer === undefined || claim.answer.truncated) {
            return done(claimRefusals.notKept);
        }
        for (const event of getStoredEvents(claim.answer)) {
            await channel.push(event);
        }
        return done(undefined);
    }
}

function done(refusal: RefusalText | undefined): Step {
    return { kind: "done", refusal };
}
