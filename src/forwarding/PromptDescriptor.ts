/*
 * A request's description of its prompt, without the prompt itself.
 */
import { PromptPart } from "./PromptPart";
import { PromptPrefix } from "./PromptPrefix";

/** The model, the parts and the token counts of a prompt. */
export interface PromptDescriptor {
    /** The name of the requested model. */
    model: string;
    /** The prompt's parts in order; requests share the first ones, the last belongs to the request or its session. */
    parts: readonly PromptPart[];
    /** The prefixes that other prompts may share, the longest first. */
    prefixes: readonly PromptPrefix[];
    /** The number of tokens in the prompt. */
    promptTokens: number;
    /** The maximum number of tokens in the response. */
    maximumOutputTokens: number;
}
