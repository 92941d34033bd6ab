/*
 * The prefix hit rate.
 */
import { RequestRecord } from "../client";

/** Gets cached prompt tokens of all prompt tokens; 0 where there are none. */
export function getPrefixHitRate(records: readonly RequestRecord[]): number {
    let promptTokens = 0;
    let cachedTokens = 0;
    for (const record of records) {
        promptTokens += record.promptTokens;
        cachedTokens += record.cachedTokens;
    }
    return promptTokens === 0 ? 0 : cachedTokens / promptTokens;
}
