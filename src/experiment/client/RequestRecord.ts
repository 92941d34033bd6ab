/*
 * The outcome and the measured times of one request of a workload.
 */
import { WorkloadRequest } from "../workloads";

/** The record of a request, as observed by its caller. */
export interface RequestRecord {
    /** The request that was sent. */
    request: WorkloadRequest;
    /** How it ended. */
    outcome:
        /** The response was complete. */
        | "completed"
        /** It was refused with a code, before or within the response. */
        | "refused"
        /** The response ended without its end marker and without a refusal. */
        | "broken"
        /** No response arrived. */
        | "lost";
    /** The refusal's code; empty if the request was not refused. */
    code: string;
    /** Whether the request ran, as reported by the response: `yes`, `no` or `unknown`; empty if no response arrived. */
    runState: string;
    /** The time from the scheduled arrival to the first token, in milliseconds; undefined if no token arrived. */
    firstTokenMilliseconds: number | undefined;
    /** The times between consecutive tokens, in milliseconds. */
    interTokenMilliseconds: readonly number[];
    /** The time at which the request ended, in milliseconds from the workload's start. */
    endMilliseconds: number;
    /** The prompt's length in tokens, as reported by the engine. */
    promptTokens: number;
    /** The number of prompt tokens that were cached. */
    cachedTokens: number;
    /** The number of generated tokens. */
    completionTokens: number;
}
