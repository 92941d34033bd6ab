/*
 * What became of opening a claim.
 */
import { Claim } from "../../protocol";

/** The outcome of opening a claim. */
export type OpenClaimOutcome =
    /** The claim is this request's: it may be dispatched once under the claim's number. */
    | { kind: "granted"; claim: Claim; }
    /** Another delivery of the request holds the claim. */
    | { kind: "held"; claim: Claim; }
    /** The claim has an outcome, or its outcome is known not to be known. */
    | { kind: "settled"; claim: Claim; }
    /** The key is new, and no sidecar was named. */
    | { kind: "absent"; }
    | { kind: "bodyDiffers"; }
    /** No more keys can be known now. */
    | { kind: "full"; }
    /** The control members did not answer. */
    | { kind: "unavailable"; reason: string; };
