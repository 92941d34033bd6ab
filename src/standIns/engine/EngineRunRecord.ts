/*
 * The record that an engine stand-in keeps of each completion.
 */

/** The record of one completion. */
export interface EngineRunRecord {
    /** The request's id. */
    requestId: string;
    /** The engine's incarnation. */
    incarnation: string;
    /** The weights version that served the request. */
    version: string;
    /** The request's priority. */
    priority: number;
    /** The prompt's length in tokens. */
    promptTokens: number;
    /** The number of prompt tokens that were cached. */
    cachedTokens: number;
    /** The number of generated tokens, including skipped ones. */
    completionTokens: number;
    /** Whether the completion is running, and how it ended otherwise. */
    outcome: "running" | "completed" | "cancelled" | "crashed";
}
