/*
 * Calculates the length of a prompt.
 */
import { PromptPart } from "./PromptPart";

/**
 * Gets the length of a prompt in tokens.
 * @param parts - The parts of the prompt.
 */
export function getPromptTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((total, part) => total + part.tokens, 0);
}
