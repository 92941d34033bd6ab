/*
 * The state changes of a claim that operators may make.
 */
import { Claim, ClaimState } from "../../protocol";

/**
 * Returns whether an operator may change a claim to a state. An open claim may still run, so it can only be closed as
 * unknown. An unknown outcome can be resolved as answered or as abandoned, which means that it never ran.
 * @param claim - The current claim.
 * @param state - The state that the operator requests.
 */
export function isResolutionAllowed(claim: Claim, state: ClaimState): boolean {
    switch (claim.state) {
        case ClaimState.OPEN:
            return state === ClaimState.UNKNOWN;
        case ClaimState.UNKNOWN:
            return state === ClaimState.ANSWERED || state === ClaimState.ABANDONED;
        default:
            return false;
    }
}
