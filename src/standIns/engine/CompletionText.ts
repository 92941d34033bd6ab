/*
 * The generated text of a completion.
 */

/** The text that a stand-in engine generates, one token at a time. */
export interface CompletionText {
    /** The number of tokens of the text. */
    tokens: number;
    /** Generates the next token. */
    getNextToken(): string;
}
