/*
 * The JSON form of a claim in the lists that operators request.
 */

/** A claim as the operator interface returns it. */
export interface ClaimJson {
    /** The workspace that the key belongs to. */
    workspace: string;
    /** The idempotency key that the caller sent. */
    idempotencyKey: string;
    /** The state: `open`, `answered`, `unknown` or `abandoned`. */
    state: string;
    /** The instance id of the sidecar that may run the request. */
    companion: string;
    /** The incarnation of that sidecar; no other incarnation may run the request. */
    companionIncarnation: string;
    /** The number of the current attempt, counted from 1. */
    attempt: number;
    /** The id of the request that opened the claim. */
    requestId: string;
    /** When the claim last changed, by the time of the log, in milliseconds since the epoch. */
    timeMilliseconds: number;
    /** The operator who resolved the claim; empty where none did. */
    resolvedBy: string;
    /** Whether a repeated request still gets the complete stored response. */
    isAnswerKept: boolean;
}
