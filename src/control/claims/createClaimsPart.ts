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
import { isSameNumber } from "./isSameNumber";
import { isSettlementAllowed } from "./isSettlementAllowed";
import { maximumKeptEvents } from "./maximumKeptEvents";

type Result = CommandResult["result"];

/** Creates the claims of an empty group. */
export function createClaimsPart(): ClaimsPart {
    const store = createClaimStore();
    const history = createEventHistory(maximumKeptEvents);
    return {
        name: "claims",
        apply,
        query,
        takeSnapshot,
        restoreSnapshot,
        getSize: store.getSize,
        getEvents: history.getEvents,
    };

    function apply(command: Command, context: ApplyContext): Result | undefined {
        store.advance(context.timeMilliseconds);
        switch (command.command.case) {
            case "openClaim":
                return openClaim(command.command.value, context);
            case "settleClaim":
                return settleClaim(command.command.value, context);
            case "resolveClaim":
                return resolveClaim(command.command.value, context);
            case "claimBounds":
                return setBounds(command.command.value);
            default:
                return undefined;
        }
    }

    function openClaim(request: OpenClaim, context: ApplyContext): Result {
        const wanted = request.claim;
        if (wanted === undefined) {
            return getResult(ClaimOutcome.UNSPECIFIED);
        }
        const known = store.getKnownKey(wanted.workspace, wanted.idempotencyKey);
        if (known === undefined) {
            return store.hasRoom(wanted.workspace) ? grant(wanted, 1, context) : getResult(ClaimOutcome.FULL);
        }
        const bodyDigest = known.kind === "claim" ? known.claim.bodyDigest : known.bodyDigest;
        if (!isSameDigest(bodyDigest, wanted.bodyDigest)) {
            return getResult(ClaimOutcome.BODY_DIFFERS);
        }
        if (known.kind === "seen") {
            return getResult(ClaimOutcome.SETTLED, getSeenClaim(wanted));
        }
        return openKnownClaim(known.claim, request, wanted, context);
    }

    /** Opens a claim whose key is known: anew only where the attempt before is proved never to run. */
    function openKnownClaim(claim: Claim, request: OpenClaim, wanted: Claim, context: ApplyContext): Result {
        switch (claim.state) {
            case ClaimState.ABANDONED:
                return grant(wanted, claim.attempt + 1, context);
            case ClaimState.ANSWERED:
            case ClaimState.UNKNOWN:
                return getResult(ClaimOutcome.SETTLED, claim);
            case ClaimState.OPEN:
                return openOpenClaim(claim, request, wanted, context);
            case ClaimState.UNSPECIFIED:
                return getResult(ClaimOutcome.STALE, claim);
        }
    }

    function openOpenClaim(claim: Claim, request: OpenClaim, wanted: Claim, context: ApplyContext): Result {
        if (isSameNumber(claim.number, request.forbidden)) {
            return grant(wanted, claim.attempt + 1, context);
        }
        if (isSameOpening(claim, wanted)) {
            return getResult(ClaimOutcome.GRANTED, claim);
        }
        return getResult(request.forbidden === undefined ? ClaimOutcome.EXISTS : ClaimOutcome.STALE, claim);
    }

    /** Opens a claim for the sidecar named; an opening that names none only asks what is known. */
    function grant(wanted: Claim, attempt: number, context: ApplyContext): Result {
        if (wanted.companion === "") {
            return getResult(ClaimOutcome.STALE);
        }
        const claim = create(ClaimSchema, {
            workspace: wanted.workspace,
            idempotencyKey: wanted.idempotencyKey,
            bodyDigest: wanted.bodyDigest,
            companion: wanted.companion,
            companionAddress: wanted.companionAddress,
            companionIncarnation: wanted.companionIncarnation,
            requestId: wanted.requestId,
            attempt,
            state: ClaimState.OPEN,
            number: create(FencingNumberSchema, { term: context.term, index: context.index }),
            timeMilliseconds: BigInt(store.getTimeMilliseconds()),
        });
        store.setClaim(claim);
        return getResult(ClaimOutcome.GRANTED, claim);
    }

    function settleClaim(request: SettleClaim, context: ApplyContext): Result {
        const known = store.getKnownKey(request.workspace, request.idempotencyKey);
        if (known?.kind !== "claim" || !isSameNumber(known.claim.number, request.number)) {
            return getResult(ClaimOutcome.STALE, known?.kind === "claim" ? known.claim : undefined);
        }
        if (!isSettlementAllowed(known.claim, request.state)) {
            return getResult(ClaimOutcome.SETTLED, known.claim);
        }
        return changeState(known.claim, request.state, "", getBoundedAnswer(request), context);
    }

    /** Takes an operator's word for an outcome; an open claim, which may run yet, can only be closed as unknown. */
    function resolveClaim(request: ResolveClaim, context: ApplyContext): Result {
        const known = store.getKnownKey(request.workspace, request.idempotencyKey);
        if (known?.kind !== "claim") {
            return getResult(ClaimOutcome.STALE);
        }
        if (!isResolutionAllowed(known.claim, request.state)) {
            return getResult(ClaimOutcome.EXISTS, known.claim);
        }
        return changeState(known.claim, request.state, request.author, undefined, context);
    }

    function changeState(
        claim: Claim,
        state: ClaimState,
        resolvedBy: string,
        answer: StoredAnswer | undefined,
        context: ApplyContext,
    ): Result {
        if (state === ClaimState.UNKNOWN && claim.state !== ClaimState.UNKNOWN) {
            addUnknownEvent(claim, resolvedBy, context);
        }
        const changed = clone(ClaimSchema, claim);
        changed.state = state;
        changed.resolvedBy = resolvedBy;
        changed.answer = answer;
        changed.timeMilliseconds = BigInt(store.getTimeMilliseconds());
        store.setClaim(changed);
        return getResult(ClaimOutcome.SETTLED, changed);
    }

    /** Tells operators of an outcome that nobody knows, without the idempotency key. */
    function addUnknownEvent(claim: Claim, resolvedBy: string, context: ApplyContext): void {
        const { attempt, companion, requestId, workspace } = claim;
        const author = resolvedBy === "" ? "" : `, as ${resolvedBy} said`;
        const text = `the outcome of request ${requestId} (attempt ${attempt} at ${companion}) is unknown${author}`;
        history.addEvent(context, EventKind.ClaimUnknown, workspace, text);
    }

    /** Gets the answer to keep, without its body where that is too long. */
    function getBoundedAnswer(request: SettleClaim): StoredAnswer | undefined {
        const { answer, state } = request;
        if (state !== ClaimState.ANSWERED || answer === undefined) {
            return undefined;
        }
        const bytes = answer.body.length + answer.headersJson.length;
        if (bytes <= Number(store.getBounds().maximumBytesPerAnswer)) {
            return answer;
        }
        return create(StoredAnswerSchema, { status: answer.status, truncated: true });
    }

    function setBounds(bounds: ClaimBounds): Result {
        store.setBounds(bounds);
        return getResult(ClaimOutcome.SETTLED);
    }

    function query(kind: QueryKind, argument: string): unknown {
        switch (kind) {
            case QueryKind.CLAIMS:
                return [...store.getClaims()].filter(claim => isListed(claim, argument)).map(getClaimJson);
            case QueryKind.CLAIM:
                return queryClaim(argument);
            default:
                return undefined;
        }
    }

    /** Answers a query for one claim; the argument is JSON with the workspace and the key. */
    function queryClaim(argument: string): unknown {
        const { workspace, idempotencyKey } = JSON.parse(argument) as { workspace: string; idempotencyKey: string; };
        const known = store.getKnownKey(workspace, idempotencyKey);
        if (known === undefined) {
            return { state: "absent" };
        }
        return known.kind === "claim"
            ? getClaimJson(known.claim)
            : { workspace, idempotencyKey, state: "answered", isAnswerKept: false };
    }

    function takeSnapshot(): Uint8Array {
        const snapshot = store.takeSnapshot();
        snapshot.events = encodeEvents(history.getEvents());
        return toBinary(ClaimsSnapshotSchema, snapshot);
    }

    function restoreSnapshot(bytes: Uint8Array): void {
        const snapshot = fromBinary(ClaimsSnapshotSchema, bytes);
        store.restoreSnapshot(snapshot);
        history.setEvents(decodeEvents(snapshot.events));
    }
}

/** Tells whether a list shows a claim: by state where one is named, else every one without a known outcome. */
function isListed(claim: Claim, state: string): boolean {
    if (state === "") {
        return claim.state === ClaimState.UNKNOWN || claim.state === ClaimState.OPEN;
    }
    return ClaimState[claim.state].toLowerCase() === state;
}

/** Tells whether an opening is the resent one that opened the claim. */
function isSameOpening(claim: Claim, wanted: Claim): boolean {
    return claim.requestId === wanted.requestId
        && claim.companion === wanted.companion
        && claim.companionIncarnation === wanted.companionIncarnation;
}

/** Gets what is told of a claim of which only the digest is kept. */
function getSeenClaim(wanted: Claim): Claim {
    return create(ClaimSchema, {
        workspace: wanted.workspace,
        idempotencyKey: wanted.idempotencyKey,
        bodyDigest: wanted.bodyDigest,
        state: ClaimState.ANSWERED,
    });
}

function getResult(outcome: ClaimOutcome, claim?: Claim): Result {
    return { case: "claim", value: create(ClaimResultSchema, { outcome, claim }) };
}
