/*
 * The operators' interface of a control member: an HTTP server that exposes commands and queries, with authentication
 * by bearer tokens and authorization by roles.
 */
export * from "./ConfigurationChangeBody";
export * from "./ConfigurationChangeResponse";
export * from "./ConfigurationPlanResponse";
export * from "./ControlOperations";
export * from "./InForceReport";
export * from "./OperatorServer";
export * from "./OperatorServerOptions";
export * from "./startOperatorServer";
