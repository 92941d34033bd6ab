/*
 * What a request scheduler is made from.
 */
import { Clock } from "../../runtime";
import { PrefixIndex } from "../PrefixIndex";

/** The options of a request scheduler. */
export interface RequestSchedulerOptions {
    /** The clock that waits are measured by. */
    clock: Clock;
    /** What the engine holds in its cache; none for a plain service. */
    prefixIndex?: PrefixIndex;
    /** How many requests run at once at the backend server. */
    maximumRunning: number;
    /** How many requests may wait. */
    maximumQueued: number;
    /** The engine's prefill speed in tokens a second, to start from. */
    prefillTokensPerSecond: number;
    /** How many tokens a piece of cache holds. */
    blockTokens: number;
    /** What one token of an answer costs the engine, in milliseconds; its share of a batch's step. */
    completionTokenMilliseconds?: number;
    /** From what prefill on a request counts as long, in milliseconds. */
    longPrefillMilliseconds?: number;
    /** How much more recomputation counts than waiting where the cost here is compared with that elsewhere. */
    recomputationWeight?: number;
    /** How much short prefill is handed to the engine ahead of time, in milliseconds. */
    prefillAheadMilliseconds?: number;
    /** The cost in milliseconds above which a request that may go elsewhere is refused, where it names no bound. */
    redirectAboveMilliseconds?: number;
    /** Whether requests wait for another's prefill of what they share with it. */
    coalescesPrefills?: boolean;
}
