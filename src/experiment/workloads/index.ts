/*
 * Seeded workloads that resemble the requests of both users.
 */
export * from "./createPromptRenderer";
export * from "./createWorkload";
export * from "./getPromptTokens";
export * from "./PromptPart";
export * from "./Workload";
export * from "./WorkloadKind";
export * from "./WorkloadOptions";
export * from "./WorkloadRequest";
export * from "./WorkloadSubscriber";
