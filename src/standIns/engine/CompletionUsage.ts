/*
 * The token usage of a completion.
 */

/** The token usage of a completion. */
export interface CompletionUsage {
    /** The prompt's length in tokens. */
    promptTokens: number;
    /** The number of prompt tokens that were cached. */
    cachedTokens: number;
    /** The number of generated tokens. */
    completionTokens: number;
}
