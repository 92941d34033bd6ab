/*
 * Requests that may not be repeated: claims in the replicated log, and runs under their numbers.
 */
export * from "./ClaimClient";
export * from "./ClaimedRunner";
export * from "./claimRefusals";
export * from "./createClaimClient";
export * from "./createClaimedRunner";
export * from "./OpenClaimOutcome";
