/*
 * The parameters and dependencies of a request scheduler.
 */
import { Clock } from "../../runtime";
import { PrefixIndex } from "../PrefixIndex";

/** The options of a request scheduler. */
export interface RequestSchedulerOptions {
    /** The clock that waits and runs are measured by. */
    clock: Clock;
    /** The index of the engine's cached blocks; absent for a plain service. */
    prefixIndex?: PrefixIndex;
    /** The number of requests that may run at the same time at the backend server. */
    maximumRunning: number;
    /** The number of requests that may wait. */
    maximumQueued: number;
    /** The initial estimate of the engine's prefill speed, in tokens per second. */
    prefillTokensPerSecond: number;
    /** The number of tokens in a block. */
    blockTokens: number;
    /** What one token of a response costs the engine, in milliseconds: its share of the step of a batch. */
    completionTokenMilliseconds?: number;
    /** The prefill duration above which a request counts as long, in milliseconds. */
    longPrefillMilliseconds?: number;
    /** The weight of recomputation, relative to waiting, in the cost that is compared between sidecars. */
    recomputationWeight?: number;
    /** The remaining short prefill at the engine below which another short one may begin, in milliseconds. */
    prefillAheadMilliseconds?: number;
    /** The cost in milliseconds above which a request that may be redirected is refused if it carries no limit. */
    redirectAboveMilliseconds?: number;
    /** Whether requests wait for the prefill of another request that computes a prefix that they share. */
    coalescesPrefills?: boolean;
}
