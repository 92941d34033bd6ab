/*
 * What a request says of its prompt, without the prompt itself.
 */
import { PromptPart } from "./PromptPart";

/** The outline of a prompt. */
export interface PromptDescriptor {
    /** The model that is asked for. */
    model: string;
    /** The prompt's parts in order; requests share the first ones, and the last belongs to the request or its session. */
    parts: readonly PromptPart[];
    /** The tokens of the prompt. */
    promptTokens: number;
    /** The most tokens of the answer. */
    maximumOutputTokens: number;
}
