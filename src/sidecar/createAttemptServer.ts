/*
 * Runs each attempt as a separate task that outlives the connection it arrived on: a broken connection ends the event
 * stream, not the attempt.
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
import { Attempt, createAttemptRegistry } from "./attempts";
import { AttemptServer } from "./AttemptServer";
import { BackendState } from "./BackendState";
import { CrashDetector } from "./crashes";
import { createRefusedEvent } from "./createRefusedEvent";
import { runAttempt } from "./runAttempt";
import { settleAbandonedClaim } from "./settleAbandonedClaim";
import { SidecarOptions } from "./SidecarOptions";

/**
 * Creates the server of a sidecar's attempt calls.
 * @param options - The options of the sidecar.
 * @param getBackendState - Gets the last observed state of the backend server.
 * @param crashDetector - Collects evidence of engine crashes; undefined for plain services.
 */
export function createAttemptServer(
    options: SidecarOptions,
    getBackendState: () => BackendState,
    crashDetector: CrashDetector | undefined,
): AttemptServer {
    const { attemptLimits, authority, clock, incarnation, logger } = options;
    const registry = createAttemptRegistry({ incarnation, clock, limits: attemptLimits });
    let responsesInFlight = 0;
    let settlementsInFlight = 0;
    return {
        dispatch,
        resume,
        forbidAttempt,
        cancel,
        getInFlightCount: () => registry.getRunningCount() + responsesInFlight + settlementsInFlight,
    };

    async function* dispatch(
        request: DispatchRequest,
        context: Pick<HandlerContext, "signal">,
    ): AsyncGenerator<DispatchEvent> {
        authority.addSeenRevision(request.configurationRevision);
        const begun = registry.begin(request);
        if (begun.kind === "refused") {
            const { message, reason } = begun.rejection;
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
            yield createResumeRefusal(requestId, RefusalReason.WRONG_INCARNATION, RunState.UNKNOWN);
            return;
        }
        const attempt = registry.getAttempt(requestId, request.attempt);
        if (attempt === undefined) {
            yield createResumeRefusal(requestId, RefusalReason.UNKNOWN_ATTEMPT, RunState.UNKNOWN);
            return;
        }
        if (!attempt.replayBuffer.isAvailable(request.nextSequence)) {
            yield createResumeRefusal(requestId, RefusalReason.LINK_LOST, RunState.RAN);
            return;
        }
        yield* follow(attempt, request.nextSequence, context.signal);
    }

    /** Streams an attempt's events to one connection, after an empty event that confirms the connection. */
    async function* follow(attempt: Attempt, sequence: bigint, signal: AbortSignal): AsyncGenerator<DispatchEvent> {
        responsesInFlight += 1;
        try {
            yield create(DispatchEventSchema, { requestId: attempt.requestId });
            yield* attempt.replayBuffer.follow(sequence, signal);
        }
        finally {
            responsesInFlight -= 1;
            registry.startUnfollowedTimeout(attempt);
        }
    }

    /** Runs one attempt to its last event. */
    async function runTask(attempt: Attempt, request: DispatchRequest): Promise<void> {
        try {
            for await (const event of runAttempt(options, getBackendState, crashDetector, request, attempt)) {
                await attempt.replayBuffer.add(event);
            }
        }
        catch (error) {
            logger.error(
                { requestId: request.requestId, problem: getErrorMessage(error) },
                "attempt ended with an unexpected error",
            );
        }
        if (!attempt.replayBuffer.hasEnded()) {
            const message = "The attempt ended without its answer.";
            await attempt.replayBuffer.add(
                createRefusedEvent(RefusalReason.OUTCOME_UNKNOWN, attempt.getRunState(), message, 0n),
            );
        }
        registry.end(attempt);
        await settle(attempt, request);
    }

    /** Settles the claim of an attempt that has ended without a follower. */
    async function settle(attempt: Attempt, request: DispatchRequest): Promise<void> {
        if (!attempt.isClaimed || attempt.replayBuffer.hasFollowers()) {
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
        return registry.forbid(request.claim, request.companionIncarnation);
    }

    function cancel(request: CancelRequest): CancelResponse {
        registry.getAttempt(request.requestId, request.attempt)?.cancel();
        return create(CancelResponseSchema, {});
    }
}

/** Creates the event for an attempt that can't be resumed here. It has no sequence number. */
function createResumeRefusal(requestId: string, reason: RefusalReason, runState: RunState): DispatchEvent {
    const message = "The answer can't be gone on with here.";
    const event = createRefusedEvent(reason, getRunState({ kind: "sidecarReported", runState }), message, 0n);
    return create(DispatchEventSchema, { sequence: 0n, requestId, event });
}
