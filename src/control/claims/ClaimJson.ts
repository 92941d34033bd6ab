/*
 * The shape of a claim in lists for operators.
 */

/** A claim as operators see it. */
export interface ClaimJson {
    /** The workspace that the key belongs to. */
    workspace: string;
    /** The key that the caller gave. */
    idempotencyKey: string;
    /** The state: `open`, `answered`, `unknown` or `abandoned`. */
    state: string;
    /** The sidecar that may run the request. */
    companion: string;
    /** The sidecar's incarnation that may run it. */
    companionIncarnation: string;
    /** The attempt's number, from 1. */
    attempt: number;
    /** The id of the request that opened the claim. */
    requestId: string;
    /** When the claim last changed, in milliseconds since the epoch. */
    timeMilliseconds: number;
    /** The operator who resolved it; empty where none did. */
    resolvedBy: string;
    /** Whether a resend still gets the whole answer. */
    isAnswerKept: boolean;
}
