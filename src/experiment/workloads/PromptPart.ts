/*
 * A part of a prompt.
 */

/** A part of a prompt; of two parts with the same id, the text of the shorter one is a prefix of the other's. */
export interface PromptPart {
    /** The id, which determines the text. */
    id: string;
    /** The length in tokens; a token is one byte. */
    tokens: number;
}
