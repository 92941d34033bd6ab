/*
 * An engine's report of its load. The report can lag behind the engine's actual state.
 */

/** An engine's load at the time of its report. */
export interface EngineLoad {
    /** The engine's incarnation. */
    incarnation: string;
    /** The weights version served; empty if none is loaded. */
    version: string;
    /** The loaded adapters. */
    adapters: readonly string[];
    /** The role: `both`, `prefill` or `decode`. */
    role: string;
    /** The number of requests that the engine is running. */
    running: number;
    /** The number of requests queued in the engine. */
    waiting: number;
    /** The number of prompt tokens that are not prefilled yet. */
    pendingPrefillTokens: number;
}
