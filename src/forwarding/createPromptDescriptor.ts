/*
 * Creates a prompt's descriptor, with the digests of its prefixes.
 */
import { getPromptPrefixes } from "./getPromptPrefixes";
import { PromptDescriptor } from "./PromptDescriptor";

/**
 * Creates a descriptor.
 * @param outline - The model, the parts and the token counts.
 */
export function createPromptDescriptor(
    { model, parts, promptTokens, maximumOutputTokens }: Omit<PromptDescriptor, "prefixes">,
): PromptDescriptor {
    return { model, parts, prefixes: getPromptPrefixes(parts), promptTokens, maximumOutputTokens };
}
