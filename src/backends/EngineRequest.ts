/*
 * A completion request from a sidecar to its engine.
 */

/** One completion request to an engine. */
export interface EngineRequest {
    /** The request's id, which the engine returns in its response. */
    requestId: string;
    /** The model's name. */
    model: string;
    /** The weights version that must serve the request. */
    version: string;
    /** The salt that separates the cached prefixes of different scopes. */
    cacheSalt: string;
    /** The caller's request as parsed JSON, without the fields that basilwing sets. */
    body: Readonly<Record<string, unknown>>;
    /** Whether the request has chat messages instead of a prompt. */
    isChat: boolean;
    /** The request's priority; lower numbers run first. */
    priority: number;
    /** The sampling seed; with the same seed, a rerun generates the same text. */
    seed: bigint;
    /** The number of response tokens that the sidecar already has; the engine does not send them again. */
    skipTokens: number;
}
