/*
 * Whether a request ran, and with what answer: what is seen of it, and what may be said.
 */
export * from "./combineRunStates";
export * from "./createResponseCollector";
export * from "./getRunState";
export * from "./ResponseCollector";
export * from "./RunEvidence";
