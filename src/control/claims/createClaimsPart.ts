/*
 * The part of the replicated state that holds claims for non-idempotent requests. A claim names the one sidecar that
 * may run its request and the fencing token under which it may do so. A further attempt is granted only after proof
 * that the attempt under the previous token has not run and never will.
 */
import { clone, create, fromBinary, toBinary } from "@bufbuild/protobuf";
import {
    Claim,
    ClaimBounds,
    ClaimOutcome,
    ClaimResultSchema,
    ClaimSchema,
    ClaimsSnapshotSchema,
    ClaimState,
    Command,
    CommandResult,
    FencingNumberSchema,
    OpenClaim,
    QueryKind,
    ResolveClaim,
    SettleClaim,
    StoredAnswer,
    StoredAnswerSchema,
} from "../../protocol";
import { ApplyContext } from "../consensus";
import { createEventHistory } from "../createEventHistory";
import { decodeEvents } from "../decodeEvents";
import { encodeEvents } from "../encodeEvents";
import { EventKind } from "../EventKind";
import { ClaimsPart } from "./ClaimsPart";
import { createClaimStore } from "./createClaimStore";
import { getClaimJson } from "./getClaimJson";
import { isResolutionAllowed } from "./isResolutionAllowed";
import { isSameDigest } from "./isSameDigest";
import { isSameFencingToken } from "./isSameFencingToken";
import { isSettlementAllowed } from "./isSettlementAllowed";
import { maximumRetainedEvents } from "./maximumRetainedEvents";

type Result = CommandResult["result"];

/** Creates the claims part of an empty group of control members. */
export function createClaimsPart(): ClaimsPart {
    const store = createClaimStore();
    const eventHistory = createEventHistory(maximumRetainedEvents);
    return {
        name: "claims",
        apply,
        query,
        takeSnapshot,
        restoreSnapshot,
        getSize: store.getSize,
        getEvents: eventHistory.getEvents,
    };

    function apply(command: Command, context: ApplyContext): Result | undefined {
        store.advanceTime(context.timeMilliseconds);
        switch (command.command.case) {
            case "openClaim":
                return openClaim(command.command.value, context);
            case "settleClaim":
                return settleClaim(command.command.value, context);
            case "resolveClaim":
                return resolveClaim(command.command.value, context);
            case "claimBounds":
                return setLimits(command.command.value);
            default:
                return undefined;
        }
    }

    function openClaim(request: OpenClaim, context: ApplyContext): Result {
        const requested = request.claim;
        if (requested === undefined) {
            return createResult(ClaimOutcome.UNSPECIFIED);
        }
        const record = store.findKey(requested.workspace, requested.idempotencyKey);
        if (record === undefined) {
            return store.hasCapacity(requested.workspace)
                ? grantAttempt(requested, 1, context)
                : createResult(ClaimOutcome.FULL);
        }
        const bodyDigest = record.kind === "claim" ? record.claim.bodyDigest : record.bodyDigest;
        if (!isSameDigest(bodyDigest, requested.bodyDigest)) {
            return createResult(ClaimOutcome.BODY_DIFFERS);
        }
        if (record.kind === "seen") {
            return createResult(ClaimOutcome.SETTLED, createSeenClaim(requested));
        }
        return reopenClaim(record.claim, request, requested, context);
    }

    /** Opens a claim whose key is stored. A new attempt is granted only where the previous one provably never runs. */
    function reopenClaim(claim: Claim, request: OpenClaim, requested: Claim, context: ApplyContext): Result {
        switch (claim.state) {
            case ClaimState.ABANDONED:
                return grantAttempt(requested, claim.attempt + 1, context);
            case ClaimState.ANSWERED:
            case ClaimState.UNKNOWN:
                return createResult(ClaimOutcome.SETTLED, claim);
            case ClaimState.OPEN:
                return retryOpenClaim(claim, request, requested, context);
            case ClaimState.UNSPECIFIED:
                return createResult(ClaimOutcome.STALE, claim);
        }
    }

    function retryOpenClaim(claim: Claim, request: OpenClaim, requested: Claim, context: ApplyContext): Result {
        if (isSameFencingToken(claim.number, request.forbidden)) {
            return grantAttempt(requested, claim.attempt + 1, context);
        }
        if (isRetriedOpening(claim, requested)) {
            return createResult(ClaimOutcome.GRANTED, claim);
        }
        return createResult(request.forbidden === undefined ? ClaimOutcome.EXISTS : ClaimOutcome.STALE, claim);
    }

    /** Grants an attempt to the requested sidecar. A request without a sidecar only looks up the key: no grant. */
    function grantAttempt(requested: Claim, attempt: number, context: ApplyContext): Result {
        if (requested.companion === "") {
            return createResult(ClaimOutcome.STALE);
        }
        const claim = create(ClaimSchema, {
            workspace: requested.workspace,
            idempotencyKey: requested.idempotencyKey,
            bodyDigest: requested.bodyDigest,
            companion: requested.companion,
            companionAddress: requested.companionAddress,
            companionIncarnation: requested.companionIncarnation,
            requestId: requested.requestId,
            attempt,
            state: ClaimState.OPEN,
            number: create(FencingNumberSchema, { term: context.term, index: context.index }),
            timeMilliseconds: BigInt(store.getTimeMilliseconds()),
        });
        store.setClaim(claim);
        return createResult(ClaimOutcome.GRANTED, claim);
    }

    function settleClaim(request: SettleClaim, context: ApplyContext): Result {
        const record = store.findKey(request.workspace, request.idempotencyKey);
        if (record?.kind !== "claim" || !isSameFencingToken(record.claim.number, request.number)) {
            return createResult(ClaimOutcome.STALE, record?.kind === "claim" ? record.claim : undefined);
        }
        if (!isSettlementAllowed(record.claim, request.state)) {
            return createResult(ClaimOutcome.SETTLED, record.claim);
        }
        return changeState(record.claim, request.state, "", getStorableResponse(request), context);
    }

    /** Applies the outcome that an operator states. An open claim may still run, so it can only become unknown. */
    function resolveClaim(request: ResolveClaim, context: ApplyContext): Result {
        const record = store.findKey(request.workspace, request.idempotencyKey);
        if (record?.kind !== "claim") {
            return createResult(ClaimOutcome.STALE);
        }
        if (!isResolutionAllowed(record.claim, request.state)) {
            return createResult(ClaimOutcome.EXISTS, record.claim);
        }
        return changeState(record.claim, request.state, request.author, undefined, context);
    }

    function changeState(
        claim: Claim,
        state: ClaimState,
        resolvedBy: string,
        answer: StoredAnswer | undefined,
        context: ApplyContext,
    ): Result {
        if (state === ClaimState.UNKNOWN && claim.state !== ClaimState.UNKNOWN) {
            addUnknownOutcomeEvent(claim, resolvedBy, context);
        }
        const changed = clone(ClaimSchema, claim);
        changed.state = state;
        changed.resolvedBy = resolvedBy;
        changed.answer = answer;
        changed.timeMilliseconds = BigInt(store.getTimeMilliseconds());
        store.setClaim(changed);
        return createResult(ClaimOutcome.SETTLED, changed);
    }

    /** Adds the event of an outcome that became unknown, without the idempotency key. */
    function addUnknownOutcomeEvent(claim: Claim, resolvedBy: string, context: ApplyContext): void {
        const { attempt, companion, requestId, workspace } = claim;
        const author = resolvedBy === "" ? "" : `, as ${resolvedBy} said`;
        const text = `the outcome of request ${requestId} (attempt ${attempt} at ${companion}) is unknown${author}`;
        eventHistory.addEvent(context, EventKind.ClaimUnknown, workspace, text);
    }

    /** Gets the response to store; only its status, marked as truncated, where it exceeds the maximum size. */
    function getStorableResponse(request: SettleClaim): StoredAnswer | undefined {
        const { answer, state } = request;
        if (state !== ClaimState.ANSWERED || answer === undefined) {
            return undefined;
        }
        const bytes = answer.body.length + answer.headersJson.length;
        if (bytes <= Number(store.getLimits().maximumBytesPerAnswer)) {
            return answer;
        }
        return create(StoredAnswerSchema, { status: answer.status, truncated: true });
    }

    function setLimits(limits: ClaimBounds): Result {
        store.setLimits(limits);
        return createResult(ClaimOutcome.SETTLED);
    }

    function query(kind: QueryKind, argument: string): unknown {
        switch (kind) {
            case QueryKind.CLAIMS:
                return [...store.getClaims()].filter(claim => matchesListFilter(claim, argument)).map(getClaimJson);
            case QueryKind.CLAIM:
                return queryClaim(argument);
            default:
                return undefined;
        }
    }

    /**
     * Answers a query for one claim.
     * @param argument - JSON with `workspace` and `idempotencyKey`.
     */
    function queryClaim(argument: string): unknown {
        const { workspace, idempotencyKey } = JSON.parse(argument) as { workspace: string; idempotencyKey: string; };
        const record = store.findKey(workspace, idempotencyKey);
        if (record === undefined) {
            return { state: "absent" };
        }
        return record.kind === "claim"
            ? getClaimJson(record.claim)
            : { workspace, idempotencyKey, state: "answered", isAnswerKept: false };
    }

    function takeSnapshot(): Uint8Array {
        const snapshot = store.takeSnapshot();
        snapshot.events = encodeEvents(eventHistory.getEvents());
        return toBinary(ClaimsSnapshotSchema, snapshot);
    }

    function restoreSnapshot(bytes: Uint8Array): void {
        const snapshot = fromBinary(ClaimsSnapshotSchema, bytes);
        store.restoreSnapshot(snapshot);
        eventHistory.replaceEvents(decodeEvents(snapshot.events));
    }
}

/** Returns whether a list query selects a claim: by state, or without one every claim that is open or unknown. */
function matchesListFilter(claim: Claim, state: string): boolean {
    if (state === "") {
        return claim.state === ClaimState.UNKNOWN || claim.state === ClaimState.OPEN;
    }
    return ClaimState[claim.state].toLowerCase() === state;
}

/** Returns whether a request is a repetition of the one that opened the claim. */
function isRetriedOpening(claim: Claim, requested: Claim): boolean {
    return claim.requestId === requested.requestId
        && claim.companion === requested.companion
        && claim.companionIncarnation === requested.companionIncarnation;
}

/** Creates the claim to return for an answered key whose response has been evicted. */
function createSeenClaim(requested: Claim): Claim {
    return create(ClaimSchema, {
        workspace: requested.workspace,
        idempotencyKey: requested.idempotencyKey,
        bodyDigest: requested.bodyDigest,
        state: ClaimState.ANSWERED,
    });
}

function createResult(outcome: ClaimOutcome, claim?: Claim): Result {
    return { case: "claim", value: create(ClaimResultSchema, { outcome, claim }) };
}
