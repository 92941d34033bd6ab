/*
 * A generated answer.
 */

/** The answer of a stand-in engine, one token at a time. */
export interface CompletionText {
    /** How many tokens it has. */
    tokens: number;
    /** Gives the next token. */
    getNextToken(): string;
}
