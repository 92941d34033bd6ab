/*
 * The client that acts as the callers of an experiment.
 */
export * from "./createWorkloadClient";
export * from "./RequestRecord";
export * from "./SendProgress";
export * from "./sendWorkload";
export * from "./WorkloadClient";
