/*
 * The stand-in for a plain service.
 */
export * from "./createRunLog";
export * from "./createRunLogClient";
export * from "./RunLog";
export * from "./RunLogEntry";
export * from "./ServiceFaults";
export * from "./ServiceStandIn";
export * from "./ServiceStandInOptions";
export * from "./startServiceStandIn";
