/*
 * A completion as the sidecar asks it of its engine.
 */

/** One completion request to an engine. */
export interface EngineRequest {
    /** The request's id, which the engine echoes. */
    requestId: string;
    /** The model's name. */
    model: string;
    /** The weights version that must serve it. */
    version: string;
    /** Keeps cached prefixes of scopes apart. */
    cacheSalt: string;
    /** The caller's request as parsed JSON, less the fields that basilwing sets. */
    body: Readonly<Record<string, unknown>>;
    /** Whether the request has chat messages rather than a prompt. */
    isChat: boolean;
    /** How urgent the request is; a lower number first. */
    priority: number;
    /** The seed that makes a rerun give the same text. */
    seed: bigint;
    /** How many tokens of the answer are held already and are not wanted again. */
    skipTokens: number;
}
