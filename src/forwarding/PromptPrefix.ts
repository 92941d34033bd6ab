/*
 * A prefix of a prompt that other prompts may share.
 */
import { PromptPart } from "./PromptPart";

/** The first parts of a prompt, under given weights and within the workspaces that may share them. */
export interface PromptPrefix {
    /** Identifies the prefix; equal for all prompts that share it. */
    key: string;
    /** Its parts in order. */
    parts: readonly PromptPart[];
}
