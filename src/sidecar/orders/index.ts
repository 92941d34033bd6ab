/*
 * Orders to the engine: fenced, confirmed, carried out one at a time, and reported.
 */
export * from "./BeginOrderOutcome";
export * from "./carryOutOrder";
export * from "./createEngineHealthCheck";
export * from "./createHoldableScheduler";
export * from "./createOrderCommands";
export * from "./createOrderGate";
export * from "./defaultOrderTiming";
export * from "./HoldableScheduler";
export * from "./isOrderInPlace";
export * from "./OrderConclusion";
export * from "./OrderGate";
export * from "./OrderGateOptions";
export * from "./OrderTiming";
