/*
 * What a limit counts.
 */

/** The kinds of limit that are shared between processes. */
export enum QuotaKind {
    /** Requests started per second. */
    RequestsPerSecond = "requestsPerSecond",
    /** Tokens used per minute. */
    TokensPerMinute = "tokensPerMinute",
    /** Requests in flight. */
    ConcurrentRequests = "concurrentRequests",
}
