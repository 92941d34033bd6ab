/*
 * The state of one completion in an engine.
 */

/** A completion that is waiting, prefilling or decoding. */
export interface EngineRun {
    /** The request's id. */
    requestId: string;
    /** The request's priority; lower numbers run first. */
    priority: number;
    /** The run's number in the engine's order of arrival. */
    arrivalNumber: number;
    /** The hashes of the prompt's complete blocks. */
    hashes: readonly string[];
    /** The prompt's length in tokens, including response tokens that another engine has generated already. */
    promptTokens: number;
    /** The number of prompt tokens that are processed, whether cached or computed. */
    processedTokens: number;
    /** The number of prompt tokens that were computed. */
    computedTokens: number;
    /** The number of response tokens generated so far. */
    generatedTokens: number;
    /** The number of tokens in the whole response. */
    responseTokens: number;
    /** Whether the engine crashes as soon as the prompt is prefilled. */
    isPoisonous: boolean;
    /** Whether the client has closed the connection. */
    isCancelled: boolean;
    /** Generates the next token of the response. */
    getNextToken(): string;
    /** Sends one token; undefined means that the response is complete. */
    send(token: string | undefined): void;
}
