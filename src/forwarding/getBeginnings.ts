/*
 * Which beginnings of a prompt other prompts may share: all but the whole prompt, whose last part is its own.
 */
import { PromptBeginning } from "./PromptBeginning";
import { PromptOutline } from "./PromptOutline";

/**
 * Gets a prompt's shared beginnings, the longest first.
 * @param prompt - The prompt's outline.
 * @param scope - The workspace within which its parts may be shared; empty for all.
 * @param weightsVersion - The weights under which they are read.
 */
export function getBeginnings(
    { parts }: PromptOutline,
    scope: string,
    weightsVersion: number | undefined,
): readonly PromptBeginning[] {
    return parts.slice(0, -1)
        .map((...[, place]) => parts.slice(0, place + 1))
        .map(sharedParts => ({
            key: `${scope} ${weightsVersion ?? 0} ${sharedParts.map(part => part.id).join(",")}`,
            parts: sharedParts,
        }))
        .reverse();
}
