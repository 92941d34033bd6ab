/*
 * Starts background tasks by name, and decides what happens after they have failed.
 */
export * from "./failurePolicies";
export * from "./FailurePolicy";
export * from "./startTask";
export * from "./superviseTask";
export * from "./TaskContext";
