/*
 * The text that a stand-in engine answers with: a function of prompt, seed and version alone, so that a rerun gives
 * the same text.
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
 * Creates the answer to a prompt.
 * @param prompt - The rendered prompt.
 * @param seed - The request's seed.
 * @param version - The weights version.
 * @param maximumTokens - The most tokens that it may have.
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
