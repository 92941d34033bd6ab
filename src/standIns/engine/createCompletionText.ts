/*
 * Generates the text of a stand-in engine's completions. The text depends only on the prompt, the seed, the weights
 * version and the maximum length, so that a rerun generates the same text.
 */
import { createHash } from "node:crypto";
import { createRandomSource } from "../../runtime";
import { CompletionText } from "./CompletionText";

const vocabulary = [
    "key",
    "locker",
    "returned",
    "in",
    "good",
    "order",
    "by",
    "the",
    "tenant",
    "carer",
    "noted",
    "at",
    "counter",
    "notebook",
    "cell",
    "column",
    "mean",
    "rises",
    "over",
    "claims",
    "report",
    "and",
    "then",
    "until",
    "Monday",
];

/**
 * Creates the completion of a prompt.
 * @param prompt - The rendered prompt.
 * @param seed - The request's seed.
 * @param version - The weights version.
 * @param maximumTokens - The maximum number of tokens; the text has at least half of it.
 */
export function createCompletionText(
    prompt: string,
    seed: string,
    version: string,
    maximumTokens: number,
): CompletionText {
    const digest = createHash("sha256").update(`${seed}/${version}/`).update(prompt).digest();
    const random = createRandomSource(digest.readInt32LE(0));
    const minimumTokens = Math.ceil(maximumTokens / 2);
    const tokens = minimumTokens + random.getInteger(maximumTokens - minimumTokens + 1);
    return { tokens, getNextToken: () => `${vocabulary[random.getInteger(vocabulary.length)]} ` };
}
