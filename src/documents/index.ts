/*
 * Routing documents: routes, services and workspaces that an operator publishes as one document. The highest version is
 * in force.
 */
export * from "./BackendService";
export * from "./CallerLimits";
export * from "./createDocumentState";
export * from "./createRouteTable";
export * from "./distinguishesRequests";
export * from "./DocumentDecoder";
export * from "./DocumentState";
export * from "./DocumentWorkspace";
export * from "./getDocumentProblem";
export * from "./getSubjectGroup";
export * from "./NamedWeightsVersion";
export * from "./QuarantinedSubject";
export * from "./QuotaUnit";
export * from "./Route";
export * from "./RouteKind";
export * from "./RouteTable";
export * from "./RoutingDocument";
export * from "./WeightedService";
export * from "./WorkspaceQuota";
