/*
 * The parts of a prompt, as log lines show them.
 */
import { getSharedPartIds } from "./getSharedPartIds";
import { PromptDescriptor } from "./PromptDescriptor";

/** The maximum number of ids in a log line. */
const maximumLoggedIds = 32;

/**
 * Gets the log fields with the number of a prompt's shared parts and the ids of the first ones.
 * @param prompt - The prompt; undefined for a request without one.
 */
export function getPartLogFields(prompt: PromptDescriptor | undefined) {
    const ids = getSharedPartIds(prompt);
    return { promptParts: ids.slice(0, maximumLoggedIds), promptPartCount: ids.length };
}
