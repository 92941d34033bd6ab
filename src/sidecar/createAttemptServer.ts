/*
 * Runs each attempt as a task of its own, which outlives the connection that brought it: a broken link ends the
 * following of an answer, not the attempt.
 */
import { create } from "@bufbuild/protobuf";
import type { HandlerContext } from "@connectrpc/connect";
import { getErrorMessage } from "../errors";
import { getRunState } from "../outcome";
import {
    CancelRequest,
    CancelResponse,
    CancelResponseSchema,
    DispatchEvent,
    DispatchEventSchema,
    DispatchRequest,
    ForbidAttemptRequest,
    ForbidAttemptResponse,
    ForbidAttemptResponseSchema,
    RefusalReason,
    ResumeRequest,
    RunState,
} from "../protocol";
import { Attempt, createAttemptRegister } from "./attempts";
import { AttemptServer } from "./AttemptServer";
import { BackendState } from "./BackendState";
import { CrashDetector } from "./crashes";
import { createRefusedEvent } from "./createRefusedEvent";
import { runAttempt } from "./runAttempt";
import { settleAbandonedClaim } from "./settleAbandonedClaim";
import { SidecarOptions } from "./SidecarOptions";

/**
 * Creates what a sidecar does for entries.
 * @param getState - Gets what is known of the backend server.
 * @param crashWatch - Keeps the evidence of crashes; undefined for plain services.
 */
export function createAttemptServer(
    options: SidecarOptions,
    getState: () => BackendState,
    crashWatch: CrashDetector | undefined,
): AttemptServer {
    const { attemptBounds, authority, clock, incarnation, logger } = options;
    const register = createAttemptRegister({ incarnation, clock, bounds: attemptBounds });
    let answersInFlight = 0;
    let settlementsInFlight = 0;
    return {
        dispatch,
        resume,
        forbidAttempt,
        cancel,
        getInFlight: () => register.getRunningCount() + answersInFlight + settlementsInFlight,
    };

    async function* dispatch(
        request: DispatchRequest,
        context: Pick<HandlerContext, "signal">,
    ): AsyncGenerator<DispatchEvent> {
        authority.addSeenRevision(request.configurationRevision);
        const begun = register.begin(request);
        if (begun.kind === "refused") {
            const { message, reason } = begun.problem;
            const event = createRefusedEvent(reason, begun.runState, message, authority.getRevision());
            yield create(DispatchEventSchema, { sequence: 1n, requestId: request.requestId, event });
            return;
        }
        void runTask(begun.attempt, request);
        yield* follow(begun.attempt, 1n, context.signal);
    }

    async function* resume(
        request: ResumeRequest,
        context: Pick<HandlerContext, "signal">,
    ): AsyncGenerator<DispatchEvent> {
        const { requestId } = request;
        if (request.companionIncarnation !== incarnation) {
            yield refuseToResume(requestId, RefusalReason.WRONG_INCARNATION, RunState.UNKNOWN);
            return;
        }
        const attempt = register.getAttempt(requestId, request.attempt);
        if (attempt === undefined) {
            yield refuseToResume(requestId, RefusalReason.UNKNOWN_ATTEMPT, RunState.UNKNOWN);
            return;
        }
        if (!attempt.tail.isKept(request.nextSequence)) {
            yield refuseToResume(requestId, RefusalReason.LINK_LOST, RunState.RAN);
            return;
        }
        yield* follow(attempt, request.nextSequence, context.signal);
    }

    /** Gives an attempt's events to one connection, after an empty one which tells that the connection holds. */
    async function* follow(attempt: Attempt, sequence: bigint, signal: AbortSignal): AsyncGenerator<DispatchEvent> {
        answersInFlight += 1;
        try {
            yield create(DispatchEventSchema, { requestId: attempt.requestId });
            yield* attempt.tail.follow(sequence, signal);
        }
        finally {
            answersInFlight -= 1;
            register.noteUnfollowed(attempt);
        }
    }

    /** Runs one attempt to its last event. */
    async function runTask(attempt: Attempt, request: DispatchRequest): Promise<void> {
        try {
            for await (const event of runAttempt(options, getState, crashWatch, request, attempt)) {
                await attempt.tail.add(event);
            }
        }
        catch (error) {
            logger.error({ requestId: request.requestId, problem: getErrorMessage(error) }, "An attempt failed.");
        }
        if (!attempt.tail.hasEnded()) {
            const message = "The attempt ended without its answer.";
            await attempt.tail.add(
                createRefusedEvent(RefusalReason.OUTCOME_UNKNOWN, attempt.getRunState(), message, 0n),
            );
        }
        register.end(attempt);
        await settle(attempt, request);
    }

    /** Settles the claim of an attempt whose answer nobody waits for. */
    async function settle(attempt: Attempt, request: DispatchRequest): Promise<void> {
        if (!attempt.isClaimed || attempt.tail.isFollowed()) {
            return;
        }
        settlementsInFlight += 1;
        await settleAbandonedClaim(options, attempt, request);
        settlementsInFlight -= 1;
    }

    function forbidAttempt(request: ForbidAttemptRequest): ForbidAttemptResponse {
        if (request.claim === undefined) {
            return create(ForbidAttemptResponseSchema, {});
        }
        return register.forbid(request.claim, request.companionIncarnation);
    }

    function cancel(request: CancelRequest): CancelResponse {
        register.getAttempt(request.requestId, request.attempt)?.cancel();
        return create(CancelResponseSchema, {});
    }
}

/** Gets the event for an answer that can't be gone on with here. It bears no sequence number. */
function refuseToResume(requestId: string, reason: RefusalReason, runState: RunState): DispatchEvent {
    const message = "The answer can't be gone on with here.";
    const event = createRefusedEvent(reason, getRunState({ kind: "sidecarSaid", runState }), message, 0n);
    return create(DispatchEventSchema, { sequence: 0n, requestId, event });
}
