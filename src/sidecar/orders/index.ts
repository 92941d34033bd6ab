/*
 * Orders to the engine: fenced, confirmed, executed one at a time, and reported.
 */
export * from "./BeginOrderOutcome";
export * from "./createEngineHealthCheck";
export * from "./createOrderCommands";
export * from "./createOrderExecutor";
export * from "./createPausableScheduler";
export * from "./defaultOrderTiming";
export * from "./executeOrder";
export * from "./isOrderApplied";
export * from "./OrderConclusion";
export * from "./OrderExecutor";
export * from "./OrderExecutorOptions";
export * from "./OrderTiming";
export * from "./PausableScheduler";
