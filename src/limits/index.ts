/*
 * Rate and concurrency limits shared between processes and leased in small amounts, and limits on retries.
 */
export * from "./Backoff";
export * from "./BackoffOptions";
export * from "./createBackoff";
export * from "./createQuotaLeaseClient";
export * from "./createQuotaOwner";
export * from "./createQuotaUpdateHandler";
export * from "./createRequestLimiter";
export * from "./createRetryBudget";
export * from "./createReturnSpread";
export * from "./createTokenBucket";
export * from "./formatQuotaName";
export * from "./LimitDecision";
export * from "./parseQuotaName";
export * from "./QuotaCheckOutcome";
export * from "./QuotaGrantAmount";
export * from "./QuotaKind";
export * from "./QuotaLeaseClient";
export * from "./QuotaLeaseClientOptions";
export * from "./QuotaName";
export * from "./QuotaOwner";
export * from "./QuotaOwnerOptions";
export * from "./RequestLimiter";
export * from "./RetryBudget";
export * from "./TokenBucket";
