/*
 * One part of a prompt, which may be cached at engines.
 */

/** A part of a prompt. */
export interface PromptPart {
    /** The part's identity: parts with one id have one content. */
    id: string;
    /** The tokens of the part. */
    tokens: number;
}
