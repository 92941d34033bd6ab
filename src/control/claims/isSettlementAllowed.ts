/*
 * The state changes of a claim that an entry process may report.
 */
import { Claim, ClaimState } from "../../protocol";

/**
 * Returns whether an outcome that an entry process reports may replace a claim's state. A proved outcome replaces an
 * unknown one, an actual response replaces the resolution of an operator, and nothing else replaces a proved outcome.
 * @param claim - The current claim.
 * @param state - The state that the entry process reports for the claim's current fencing token.
 */
export function isSettlementAllowed(claim: Claim, state: ClaimState): boolean {
    const isProof = state === ClaimState.ANSWERED || state === ClaimState.ABANDONED;
    switch (claim.state) {
        case ClaimState.OPEN:
            return isProof || state === ClaimState.UNKNOWN;
        case ClaimState.UNKNOWN:
            return isProof;
        case ClaimState.ANSWERED:
        case ClaimState.ABANDONED:
            return claim.resolvedBy !== "" && state === ClaimState.ANSWERED;
        default:
            return false;
    }
}
