/*
 * The events that a caller reads from a streamed completion.
 */

/** One event of a streamed completion. */
export type CompletionStreamEvent =
    | { kind: "text"; text: string; }
    | { kind: "usage"; promptTokens: number; cachedTokens: number; completionTokens: number; }
    | { kind: "refused"; code: string; runState: string; }
    | { kind: "end"; };
