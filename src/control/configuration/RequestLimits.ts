/*
 * The limits that a level sets for requests.
 */

/** Limits for requests, counted over all entry processes; an absent limit does not apply. */
export interface RequestLimits {
    /** The maximum number of requests that may start in a second. */
    requestsPerSecond?: number;
    /** The maximum number of tokens, of prompts and completions, that may be used in a minute. */
    tokensPerMinute?: number;
    /** The maximum number of requests in flight. */
    concurrentRequests?: number;
}
