/*
 * Routing by shared prefix: hash chains, stateless placement, and the search for a sidecar that accepts a request.
 */
export * from "./createInstanceDigest";
export * from "./createLoadTracker";
export * from "./createNodeRanking";
export * from "./createPlacement";
export * from "./createPrefixChain";
export * from "./createRendezvousRanking";
export * from "./createRouteSearch";
export * from "./getPlacementKey";
export * from "./getRendezvousScore";
export * from "./InstanceDigest";
export * from "./LoadTracker";
export * from "./NodeRanking";
export * from "./Placement";
export * from "./PlacementOptions";
export * from "./PlacementRequest";
export * from "./PrefixChain";
export * from "./PrefixScope";
export * from "./renderPrompt";
export * from "./RendezvousRanking";
export * from "./RouteEstimate";
export * from "./RouteSearch";
export * from "./RouteSearchOptions";
export * from "./RouteStep";
export * from "./RoutingObservation";
