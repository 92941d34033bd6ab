/*
 * A prefix of a prompt that other prompts may share.
 */

/** The first parts of a prompt. */
export interface PromptPrefix {
    /** Identifies the prefix by the ids of its parts; of bounded length, however many parts there are. */
    digest: string;
    /** The number of its parts. */
    partCount: number;
}
