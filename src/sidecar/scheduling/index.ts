/*
 * The queue in front of one backend server.
 */
export * from "./createFairQueue";
export * from "./createRequestScheduler";
export * from "./FairItem";
export * from "./FairQueue";
export * from "./Lane";
export * from "./RequestSchedulerOptions";
