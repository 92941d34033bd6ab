/*
 * The claims for non-idempotent requests, as a part of the replicated state. A claim names the one sidecar that may
 * run its request and the number under which it may do so. A further attempt is granted only after proof that the
 * number before it never ran and never will.
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

/** Creates the claims of an empty group. */
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

    /** Opens a claim whose key is known: anew only where the attempt before is proved never to run. */
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

    /** Opens a claim for the sidecar named; an opening that names none only asks what is known. */
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

    /** Takes an operator's word for an outcome; an open claim, which may run yet, can only be closed as unknown. */
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

    /** Tells operators of an outcome that nobody knows, without the idempotency key. */
    function addUnknownOutcomeEvent(claim: Claim, resolvedBy: string, context: ApplyContext): void {
        const { attempt, companion, requestId, workspace } = claim;
        const author = resolvedBy === "" ? "" : `, as ${resolvedBy} said`;
        const text = `the outcome of request ${requestId} (attempt ${attempt} at ${companion}) is unknown${author}`;
        eventHistory.addEvent(context, EventKind.ClaimUnknown, workspace, text);
    }

    /** Gets the answer to keep, without its body where that is too long. */
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

    /** Answers a query for one claim; the argument is JSON with the workspace and the key. */
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
        eventHistory.setEvents(decodeEvents(snapshot.events));
    }
}

/** Tells whether a list shows a claim: by state where one is named, else every one without a known outcome. */
function matchesListFilter(claim: Claim, state: string): boolean {
    if (state === "") {
        return claim.state === ClaimState.UNKNOWN || claim.state === ClaimState.OPEN;
    }
    return ClaimState[claim.state].toLowerCase() === state;
}

/** Tells whether an opening is the resent one that opened the claim. */
function isRetriedOpening(claim: Claim, requested: Claim): boolean {
    return claim.requestId === requested.requestId
        && claim.companion === requested.companion
        && claim.companionIncarnation === requested.companionIncarnation;
}

/** Gets what is told of a claim of which only the digest is kept. */
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
