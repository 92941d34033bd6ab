/*
 * The request scheduler of one backend server.
 */
export * from "./createFairQueue";
export * from "./createRequestScheduler";
export * from "./FairQueue";
export * from "./FairQueueItem";
export * from "./Lane";
export * from "./RequestSchedulerOptions";
