/*
 * The parts of a prompt that other requests may share.
 */
import { PromptDescriptor } from "./PromptDescriptor";

/**
 * Gets the ids of a prompt's parts except the last one, which belongs to the request or its session.
 * @param prompt - The prompt; undefined for a request without one.
 */
export function getSharedPartIds(prompt: PromptDescriptor | undefined): readonly string[] {
    return prompt?.parts.slice(0, -1).map(part => part.id) ?? [];
}
