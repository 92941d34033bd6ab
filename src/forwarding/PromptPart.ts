/*
 * One part of a prompt, which engines may cache.
 */

/** A part of a prompt. */
export interface PromptPart {
    /** The part's id: parts with equal ids have equal content. */
    id: string;
    /** The number of tokens in the part. */
    tokens: number;
}
