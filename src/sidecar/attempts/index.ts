/*
 * The attempts that a sidecar has seen: each runs once, and its answer is kept for a while.
 */
export * from "./Attempt";
export * from "./AttemptBounds";
export * from "./AttemptRegister";
export * from "./AttemptRegisterOptions";
export * from "./BeginOutcome";
export * from "./createAttemptRegister";
export * from "./defaultAttemptBounds";
