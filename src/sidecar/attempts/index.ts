/*
 * The attempts that a sidecar has seen: each runs at most once, and its last events are retained for a limited time.
 */
export * from "./Attempt";
export * from "./AttemptLimits";
export * from "./AttemptRegistry";
export * from "./AttemptRegistryOptions";
export * from "./BeginOutcome";
export * from "./createAttemptRegistry";
export * from "./defaultAttemptLimits";
