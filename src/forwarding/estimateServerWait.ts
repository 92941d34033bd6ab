/*
 * Estimates how long a request waits for its first token at a backend server. The load condition: more work has been sent
 * than the server has done. An engine prefills prompts one after the other, runs a number of requests at once, and has
 * memory for a number of tokens; whichever is exhausted for longest decides, since the others are freed meanwhile.
 */
import { prefillTokensPerMillisecond } from "./prefillTokensPerMillisecond";
import { ServerWait } from "./ServerWait";

interface ServerWaitInputs {
    /** The requests at the server. */
    requestCount: number;
    /** The prompt tokens there that are not prefilled yet. */
    pendingPrefillTokens: number;
    /** The prompt tokens of all requests there. */
    promptTokens: number;
    /** The number of requests that it runs at once; undefined where that is not known. */
    slots: number | undefined;
    /** The number of tokens that it has memory for. */
    memoryTokens: number;
    /** The time that a request occupies a slot, in milliseconds; undefined where it has not been measured. */
    holdMilliseconds: number | undefined;
    /** The prompt tokens of the request. */
    ownPromptTokens: number;
    /** The tokens of these that are not cached there; 0 for requests without a prompt. */
    ownMissingTokens: number;
    /** How long work takes there, as a multiple of the usual time; 1 where it is not known. */
    workFactor: number;
}

/**
 * Estimates the wait of a request.
 * @param inputs - The load of the server and the request's own work.
 */
export function estimateServerWait(inputs: ServerWaitInputs): ServerWait {
    const { requestCount, slots, memoryTokens, holdMilliseconds = 0, ownPromptTokens, workFactor } = inputs;
    const prefillMilliseconds = inputs.pendingPrefillTokens / prefillTokensPerMillisecond;
    const excessRequests = slots === undefined ? 0 : Math.max(0, requestCount + 1 - slots);
    const slotMilliseconds = excessRequests > 0 ? excessRequests * holdMilliseconds / slots! : 0;
    // The tokens of requests that end are freed at the rate at which the whole memory is used anew.
    const excessTokens = Math.max(0, inputs.promptTokens + ownPromptTokens - memoryTokens);
    const memoryMilliseconds = excessTokens > 0 ? excessTokens * holdMilliseconds / memoryTokens : 0;
    const aheadMilliseconds = workFactor * Math.max(prefillMilliseconds, slotMilliseconds, memoryMilliseconds);
    const ownMilliseconds = ownPromptTokens > 0
        ? inputs.ownMissingTokens / prefillTokensPerMillisecond
        : holdMilliseconds;
    return { aheadMilliseconds, totalMilliseconds: aheadMilliseconds + workFactor * ownMilliseconds };
}
