/*
 * Lists the prefixes of a prompt that other prompts may share: all but the whole prompt, whose last part is its own.
 */
import { PromptDescriptor } from "./PromptDescriptor";
import { PromptPrefix } from "./PromptPrefix";

/**
 * Gets a prompt's shared prefixes, the longest first.
 * @param prompt - The prompt.
 * @param scope - The workspace within which its parts may be shared; empty where all workspaces share them.
 * @param weightsVersion - The weights version under which they are cached.
 */
export function getSharedPrefixes(
    { parts }: PromptDescriptor,
    scope: string,
    weightsVersion: number | undefined,
): readonly PromptPrefix[] {
    return parts.slice(0, -1)
        .map((...[, index]) => parts.slice(0, index + 1))
        .map(sharedParts => ({
            key: `${scope} ${weightsVersion ?? 0} ${sharedParts.map(part => part.id).join(",")}`,
            parts: sharedParts,
        }))
        .reverse();
}
