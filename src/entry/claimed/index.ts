/*
 * Runs requests that may not be repeated. Each has a claim in the replicated log and runs under its fencing token.
 */
export * from "./ClaimClient";
export * from "./ClaimedRunner";
export * from "./claimRefusals";
export * from "./createClaimClient";
export * from "./createClaimedRunner";
export * from "./OpenClaimOutcome";
