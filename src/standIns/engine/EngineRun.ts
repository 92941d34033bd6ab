/*
 * One completion inside an engine.
 */

/** A completion that waits, is prefilled or decodes. */
export interface EngineRun {
    /** The request's id. */
    requestId: string;
    /** How urgent it is; a lower number first. */
    priority: number;
    /** Numbers the runs of an engine in the order of their arrival. */
    arrivalNumber: number;
    /** The hashes of the prompt's whole pieces. */
    hashes: readonly string[];
    /** The prompt's length in tokens, those already generated elsewhere included. */
    promptTokens: number;
    /** How many prompt tokens are done, by cache or by computation. */
    processedTokens: number;
    /** How many prompt tokens were computed. */
    computedTokens: number;
    /** How many tokens were generated so far. */
    generatedTokens: number;
    /** How many tokens the answer has. */
    responseTokens: number;
    /** Whether it has crashed the engine as soon as it was prefilled. */
    isPoisonous: boolean;
    /** Whether its caller has gone. */
    isCancelled: boolean;
    /** Gives the next token of the answer. */
    getNextToken(): string;
    /** Sends one token; undefined tells that the answer is whole. */
    send(token: string | undefined): void;
}
