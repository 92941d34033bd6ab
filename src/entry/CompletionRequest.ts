/*
 * A completion request whose JSON has been checked.
 */

/** A checked completion request. */
export interface CompletionRequest {
    /** The model's name. */
    model: string;
    /** The weights version that the caller requested; undefined where it requested none. */
    version: string | undefined;
    /** Whether the request contains chat messages instead of a prompt. */
    isChat: boolean;
    /** Whether the response is streamed as server-sent events. */
    isStreaming: boolean;
    /** Whether a streamed response ends with an event that contains the token usage. */
    includesUsage: boolean;
    /** The prompt; for chat requests, the text rendered from the messages. */
    prompt: string;
    /** The maximum number of tokens to generate. */
    maximumTokens: number;
    /** The sampling seed that the caller set; undefined where it set none. */
    seed: bigint | undefined;
    /** The parsed JSON of the request, as the caller sent it. */
    body: Readonly<Record<string, unknown>>;
}
