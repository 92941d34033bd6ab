/*
 * The attempts that a sidecar has seen: each runs once, and its answer is kept for a while.
 */
export * from "./Attempt";
export * from "./AttemptLimits";
export * from "./AttemptRegistry";
export * from "./AttemptRegistryOptions";
export * from "./BeginOutcome";
export * from "./createAttemptRegistry";
export * from "./defaultAttemptLimits";
