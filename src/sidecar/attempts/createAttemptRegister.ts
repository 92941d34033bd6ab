/*
 * The register of a sidecar's attempts. It lives as long as the sidecar's process: a claim names the incarnation
 * that may run its number, so that a sidecar which has forgotten everything runs nothing of what came before.
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
import { AttemptRegister } from "./AttemptRegister";
import { AttemptRegisterOptions } from "./AttemptRegisterOptions";
import { BeginOutcome } from "./BeginOutcome";
import { createAttemptTail } from "./createAttemptTail";
import { createClaimNumbers } from "./createClaimNumbers";
import { createEndedAttempts } from "./createEndedAttempts";
import { defaultAttemptBounds } from "./defaultAttemptBounds";
import { SeenNumber } from "./SeenNumber";

/** Creates the register of a sidecar that has seen nothing. */
export function createAttemptRegister(options: AttemptRegisterOptions): AttemptRegister {
    const { clock, incarnation } = options;
    const bounds = options.bounds ?? defaultAttemptBounds;
    const attempts = new Map<string, Attempt>();
    const numbers = createClaimNumbers<SeenNumber>(bounds.numbers);
    const seenNumbers = new WeakMap<Attempt, SeenNumber>();
    const ended = createEndedAttempts(clock, bounds.endedMilliseconds, bounds.endedBytes, forget);
    const claimedEnded = createEndedAttempts(clock, bounds.claimedEndedMilliseconds, bounds.endedBytes, forget);
    return {
        begin,
        end,
        getAttempt: (requestId, attempt) => attempts.get(getName(requestId, attempt)),
        forbid,
        noteUnfollowed,
        getRunningCount: () => attempts.size - ended.getSize() - claimedEnded.getSize(),
    };

    function begin(request: DispatchRequest): BeginOutcome {
        ended.forgetOld();
        claimedEnded.forgetOld();
        const name = getName(request.requestId, request.attempt);
        if (request.companionIncarnation !== "" && request.companionIncarnation !== incarnation) {
            return refuse(RefusalReason.WRONG_INCARNATION, RunState.NOT_RUN, "The companion has restarted.");
        }
        if (attempts.has(name)) {
            return refuse(RefusalReason.ATTEMPT_FORBIDDEN, RunState.UNKNOWN, "The attempt has been seen before.");
        }
        if (request.claim === undefined && isUnclaimedWrite(request)) {
            const message = "A call that may not be repeated needs a claim.";
            return refuse(RefusalReason.ATTEMPT_FORBIDDEN, RunState.NOT_RUN, message);
        }
        const numberState = request.claim === undefined ? "unseen" : numbers.getState(request.claim).kind;
        if (numberState !== "unseen") {
            const runState = getRunState(
                numberState === "forbidden" ? { kind: "numberForbidden" } : { kind: "claimHeldElsewhere" },
            );
            return refuse(RefusalReason.ATTEMPT_FORBIDDEN, runState, "The claim's number may not run here.");
        }
        return { kind: "begun", attempt: addAttempt(name, request) };
    }

    function addAttempt(name: string, request: DispatchRequest): Attempt {
        const attempt = createAttempt(request);
        attempts.set(name, attempt);
        if (request.claim !== undefined) {
            const { requestId } = request;
            const seenNumber = { requestId, attempt: request.attempt, state: AttemptState.RUNNING };
            seenNumbers.set(attempt, seenNumber);
            numbers.addSeen(request.claim, seenNumber);
        }
        return attempt;
    }

    function createAttempt(request: DispatchRequest): Attempt {
        const { attempt, requestId } = request;
        const isClaimed = request.claim !== undefined;
        const controller = new AbortController();
        const maximumBytes = isClaimed ? bounds.claimedTailBytes : bounds.tailBytes;
        const tail = createAttemptTail({ requestId, maximumBytes, holdsBack: !isClaimed });
        let runState = RunState.NOT_RUN;
        return {
            requestId,
            attempt,
            isClaimed,
            signal: controller.signal,
            tail,
            setRunState: newState => {
                runState = newState;
            },
            getRunState: () => runState,
            cancel,
        };

        function cancel(): void {
            if (!isClaimed || runState === RunState.NOT_RUN) {
                controller.abort();
                tail.release();
            }
        }
    }

    function end(attempt: Attempt): void {
        const seenNumber = seenNumbers.get(attempt);
        if (seenNumber !== undefined) {
            seenNumber.state = getEndedState(attempt);
        }
        (attempt.isClaimed ? claimedEnded : ended).addAttempt(attempt);
    }

    function forget(attempt: Attempt): void {
        attempts.delete(getName(attempt.requestId, attempt.attempt));
    }

    function forbid(claim: FencingNumber, sidecarIncarnation: string): ForbidAttemptResponse {
        if (sidecarIncarnation !== incarnation) {
            return answer(AttemptState.INCARNATION_GONE);
        }
        const state = numbers.getState(claim);
        switch (state.kind) {
            case "unseen":
                numbers.addForbidden(claim);
                return answer(AttemptState.FORBIDDEN);
            case "forbidden":
                return answer(AttemptState.FORBIDDEN);
            case "forgotten":
                return answer(AttemptState.FORGOTTEN);
            case "seen":
                return answer(state.value.state, state.value);
        }
    }

    async function noteUnfollowed(attempt: Attempt): Promise<void> {
        if (attempt.isClaimed || attempt.tail.hasEnded()) {
            return;
        }
        await clock.sleep(bounds.unfollowedMilliseconds, attempt.signal);
        if (!attempt.tail.isFollowed()) {
            attempt.cancel();
        }
    }
}

function getName(requestId: string, attempt: number): string {
    return `${attempt}/${requestId}`;
}

/** Tells whether a dispatch is a call that may not be repeated; only a claim's number allows that. */
function isUnclaimedWrite(request: DispatchRequest): boolean {
    return request.work.case === "service" && !request.work.value.idempotent;
}

/** Gets the state of a claimed attempt that has ended. One that did not run never will, as if it were forbidden. */
function getEndedState(attempt: Attempt): AttemptState {
    return attempt.getRunState() === RunState.NOT_RUN ? AttemptState.FORBIDDEN : AttemptState.ENDED;
}

function answer(state: AttemptState, seenNumber?: SeenNumber): ForbidAttemptResponse {
    const { attempt, requestId } = seenNumber ?? {};
    return create(ForbidAttemptResponseSchema, { state, requestId, attempt });
}

function refuse(reason: RefusalReason, runState: RunState, message: string): BeginOutcome {
    return { kind: "refused", problem: { reason, message }, runState };
}
