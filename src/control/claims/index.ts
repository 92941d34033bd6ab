/*
 * Two parts of the replicated state: the claims for non-idempotent requests, and the quarantine of requests that crash
 * engines.
 */
export * from "./ClaimJson";
export * from "./ClaimsPart";
export * from "./createClaimsPart";
export * from "./createQuarantinePart";
export * from "./defaultClaimBounds";
export * from "./defaultQuarantineLimits";
export * from "./isSameFencingToken";
export * from "./maximumRetainedEvents";
export * from "./QuarantineJson";
export * from "./QuarantineLimits";
export * from "./QuarantinePart";
