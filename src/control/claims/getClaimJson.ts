/*
 * Converts a claim to the JSON form that operators get.
 */
import { Claim, ClaimState } from "../../protocol";
import { ClaimJson } from "./ClaimJson";

/** Gets the JSON form of a claim, without its stored response. */
export function getClaimJson(claim: Claim): ClaimJson {
    return {
        workspace: claim.workspace,
        idempotencyKey: claim.idempotencyKey,
        state: ClaimState[claim.state].toLowerCase(),
        companion: claim.companion,
        companionIncarnation: claim.companionIncarnation,
        attempt: claim.attempt,
        requestId: claim.requestId,
        timeMilliseconds: Number(claim.timeMilliseconds),
        resolvedBy: claim.resolvedBy,
        isAnswerKept: claim.answer !== undefined && !claim.answer.truncated,
    };
}
