/*
 * The operators' interface of a control member: an HTTP server with bearer tokens and roles over commands and queries.
 */
export * from "./ConfigurationChangeBody";
export * from "./ConfigurationChangeResponse";
export * from "./ConfigurationPlanResponse";
export * from "./ControlOperations";
export * from "./InForceReport";
export * from "./OperatorServer";
export * from "./OperatorServerOptions";
export * from "./startOperatorServer";
