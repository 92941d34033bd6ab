/*
 * Calculates the prefix hit rate.
 */
import { RequestRecord } from "../client";

/**
 * Gets the share of all prompt tokens that were cached; 0 if there are no prompt tokens.
 * @param records - The records of the completions.
 */
export function getPrefixHitRate(records: readonly RequestRecord[]): number {
    let promptTokens = 0;
    let cachedTokens = 0;
    for (const record of records) {
        promptTokens += record.promptTokens;
        cachedTokens += record.cachedTokens;
    }
    return promptTokens === 0 ? 0 : cachedTokens / promptTokens;
}
