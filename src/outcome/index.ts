/*
 * The outcome of requests: whether they ran, and the responses of plain services.
 */
export * from "./combineRunStates";
export * from "./createResponseCollector";
export * from "./getRunState";
export * from "./ResponseCollector";
export * from "./RunEvidence";
