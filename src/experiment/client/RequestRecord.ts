/*
 * What became of one request of a workload.
 */
import { WorkloadRequest } from "../workloads";

/** The record of a request, as its caller saw it. */
export interface RequestRecord {
    /** The request. */
    request: WorkloadRequest;
    /** How it ended. */
    outcome:
        /** The answer was whole. */
        | "completed"
        /** It was refused, before or within the answer, with a reason. */
        | "refused"
        /** The answer ended without its end marker and without a reason. */
        | "broken"
        /** No answer came. */
        | "lost";
    /** The refusal's code; empty where it was not refused. */
    code: string;
    /** Whether it ran, as the answer said: `yes`, `no` or `unknown`; empty where no answer came. */
    runState: string;
    /** The time from its scheduled arrival to its first token, in milliseconds; undefined where none came. */
    firstTokenMilliseconds: number | undefined;
    /** The times between tokens, in milliseconds. */
    interTokenMilliseconds: readonly number[];
    /** When it ended, in milliseconds from the workload's start. */
    endMilliseconds: number;
    /** The prompt's length in tokens. */
    promptTokens: number;
    /** How many of them were cached. */
    cachedTokens: number;
    /** How many tokens were generated. */
    completionTokens: number;
}
