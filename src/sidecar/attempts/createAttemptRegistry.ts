/*
 * The registry of a sidecar's attempts, held in memory. A claim names the sidecar incarnation that may run its fencing
 * token, so that a restarted sidecar, whose registry is empty, runs nothing that was dispatched to its predecessor.
 */
import { create } from "@bufbuild/protobuf";
import { getRunState } from "../../outcome";
import {
    AttemptState,
    DispatchRequest,
    FencingNumber,
    ForbidAttemptResponse,
    ForbidAttemptResponseSchema,
    RefusalReason,
    RunState,
} from "../../protocol";
import { Attempt } from "./Attempt";
import { AttemptRegistry } from "./AttemptRegistry";
import { AttemptRegistryOptions } from "./AttemptRegistryOptions";
import { BeginOutcome } from "./BeginOutcome";
import { ClaimedAttemptRecord } from "./ClaimedAttemptRecord";
import { createEndedAttempts } from "./createEndedAttempts";
import { createFencingTokenTable } from "./createFencingTokenTable";
import { createReplayBuffer } from "./createReplayBuffer";
import { defaultAttemptLimits } from "./defaultAttemptLimits";

/** Creates an empty registry. */
export function createAttemptRegistry(options: AttemptRegistryOptions): AttemptRegistry {
    const { clock, incarnation } = options;
    const limits = options.limits ?? defaultAttemptLimits;
    const attempts = new Map<string, Attempt>();
    const fencingTokens = createFencingTokenTable<ClaimedAttemptRecord>(limits.maximumFencingTokens);
    const claimedAttemptRecords = new WeakMap<Attempt, ClaimedAttemptRecord>();
    const endedAttempts = createEndedAttempts(
        clock,
        limits.endedRetentionMilliseconds,
        limits.endedReplayBufferBytes,
        removeAttempt,
    );
    const claimedEndedAttempts = createEndedAttempts(
        clock,
        limits.claimedEndedRetentionMilliseconds,
        limits.endedReplayBufferBytes,
        removeAttempt,
    );
    return {
        begin,
        end,
        getAttempt: (requestId, attempt) => attempts.get(getAttemptKey(requestId, attempt)),
        forbid,
        startUnfollowedTimeout,
        getRunningCount: () => attempts.size - endedAttempts.getSize() - claimedEndedAttempts.getSize(),
    };

    function begin(request: DispatchRequest): BeginOutcome {
        endedAttempts.evictExpired();
        claimedEndedAttempts.evictExpired();
        const key = getAttemptKey(request.requestId, request.attempt);
        if (request.companionIncarnation !== "" && request.companionIncarnation !== incarnation) {
            return refuse(RefusalReason.WRONG_INCARNATION, RunState.NOT_RUN, "The companion has restarted.");
        }
        if (attempts.has(key)) {
            return refuse(RefusalReason.ATTEMPT_FORBIDDEN, RunState.UNKNOWN, "The attempt has been seen before.");
        }
        if (request.claim === undefined && isNonIdempotentCall(request)) {
            const message = "A call that may not be repeated needs a claim.";
            return refuse(RefusalReason.ATTEMPT_FORBIDDEN, RunState.NOT_RUN, message);
        }
        const tokenState = request.claim === undefined ? "unseen" : fencingTokens.getState(request.claim).kind;
        if (tokenState !== "unseen") {
            const runState = getRunState(
                tokenState === "forbidden" ? { kind: "attemptForbidden" } : { kind: "claimHeldElsewhere" },
            );
            return refuse(RefusalReason.ATTEMPT_FORBIDDEN, runState, "The claim's number may not run here.");
        }
        return { kind: "begun", attempt: addAttempt(key, request) };
    }

    function addAttempt(key: string, request: DispatchRequest): Attempt {
        const attempt = createAttempt(request);
        attempts.set(key, attempt);
        if (request.claim !== undefined) {
            const { requestId } = request;
            const record = { requestId, attempt: request.attempt, state: AttemptState.RUNNING };
            claimedAttemptRecords.set(attempt, record);
            fencingTokens.recordSeen(request.claim, record);
        }
        return attempt;
    }

    function createAttempt(request: DispatchRequest): Attempt {
        const { attempt, requestId } = request;
        const isClaimed = request.claim !== undefined;
        const controller = new AbortController();
        const maximumBytes = isClaimed ? limits.claimedReplayBufferBytes : limits.replayBufferBytes;
        const replayBuffer = createReplayBuffer({ requestId, maximumBytes, appliesBackpressure: !isClaimed });
        let runState = RunState.NOT_RUN;
        return {
            requestId,
            attempt,
            isClaimed,
            signal: controller.signal,
            replayBuffer,
            setRunState: newState => {
                runState = newState;
            },
            getRunState: () => runState,
            cancel,
        };

        function cancel(): void {
            if (!isClaimed || runState === RunState.NOT_RUN) {
                controller.abort();
                replayBuffer.stopBackpressure();
            }
        }
    }

    function end(attempt: Attempt): void {
        const record = claimedAttemptRecords.get(attempt);
        if (record !== undefined) {
            record.state = getEndedState(attempt);
        }
        (attempt.isClaimed ? claimedEndedAttempts : endedAttempts).addAttempt(attempt);
    }

    function removeAttempt(attempt: Attempt): void {
        attempts.delete(getAttemptKey(attempt.requestId, attempt.attempt));
    }

    function forbid(claim: FencingNumber, sidecarIncarnation: string): ForbidAttemptResponse {
        if (sidecarIncarnation !== incarnation) {
            return createForbidResponse(AttemptState.INCARNATION_GONE);
        }
        const state = fencingTokens.getState(claim);
        switch (state.kind) {
            case "unseen":
                fencingTokens.recordForbidden(claim);
                return createForbidResponse(AttemptState.FORBIDDEN);
            case "forbidden":
                return createForbidResponse(AttemptState.FORBIDDEN);
            case "forgotten":
                return createForbidResponse(AttemptState.FORGOTTEN);
            case "seen":
                return createForbidResponse(state.value.state, state.value);
        }
    }

    async function startUnfollowedTimeout(attempt: Attempt): Promise<void> {
        if (attempt.isClaimed || attempt.replayBuffer.hasEnded()) {
            return;
        }
        await clock.sleep(limits.unfollowedTimeoutMilliseconds, attempt.signal);
        if (!attempt.replayBuffer.hasFollowers()) {
            attempt.cancel();
        }
    }
}

function getAttemptKey(requestId: string, attempt: number): string {
    return `${attempt}/${requestId}`;
}

/** Tells whether a dispatch is a service call that may not be repeated; such a call needs a claim's fencing token. */
function isNonIdempotentCall(request: DispatchRequest): boolean {
    return request.work.case === "service" && !request.work.value.idempotent;
}

/** Gets the state of a claimed attempt that has ended. One that did not run never will, so it counts as forbidden. */
function getEndedState(attempt: Attempt): AttemptState {
    return attempt.getRunState() === RunState.NOT_RUN ? AttemptState.FORBIDDEN : AttemptState.ENDED;
}

function createForbidResponse(state: AttemptState, record?: ClaimedAttemptRecord): ForbidAttemptResponse {
    const { attempt, requestId } = record ?? {};
    return create(ForbidAttemptResponseSchema, { state, requestId, attempt });
}

function refuse(reason: RefusalReason, runState: RunState, message: string): BeginOutcome {
    return { kind: "refused", rejection: { reason, message }, runState };
}
