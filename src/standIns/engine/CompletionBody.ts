/*
 * The JSON body of a completion request.
 */

/** The body of a completion request; an absent field has the engine's default. */
export interface CompletionBody {
    /** The model. */
    model?: string;
    /** The weights version that must serve the request. */
    version?: string;
    /** The salt that separates the cached prefixes of scopes; JSON of workspace, model and version. */
    cache_salt?: string;
    /** The request's priority; lower numbers run first. */
    priority?: number;
    /** The sampling seed. */
    seed?: number | string;
    /** The number of response tokens that the client already has; they are not sent again. */
    skip_tokens?: number;
    /** The maximum number of generated tokens. */
    max_tokens?: number;
    /** The newer name of `max_tokens`, which takes precedence. */
    max_completion_tokens?: number;
    /** Whether the response is streamed. */
    stream?: boolean;
    [name: string]: unknown;
}
