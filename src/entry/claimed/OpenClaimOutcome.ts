/*
 * The outcome of opening a claim.
 */
import { Claim } from "../../protocol";

/** The state of a claim, as the control members returned it when a request tried to open it. */
export type OpenClaimOutcome =
    /** The claim is granted to this delivery, which may dispatch the request once under the claim's fencing token. */
    | { kind: "granted"; claim: Claim; }
    /** Another delivery of the same request holds the claim. */
    | { kind: "held"; claim: Claim; }
    /** The claim is settled: its outcome is recorded, or recorded as unknown. */
    | { kind: "settled"; claim: Claim; }
    /** There is no claim for the key, and none was opened because no sidecar was given. */
    | { kind: "absent"; }
    /** The key belongs to a request with another body. */
    | { kind: "bodyDiffers"; }
    /** The control members store no more idempotency keys at present. */
    | { kind: "full"; }
    /** The control members did not commit the command; the request is not dispatched. */
    | { kind: "unavailable"; reason: string; };
