/*
 * Statistics that are calculated from the records of a run.
 */
export * from "./EventLoopLagMonitor";
export * from "./getFairnessIndex";
export * from "./getJainIndex";
export * from "./getMaxMinFairShares";
export * from "./getPercentiles";
export * from "./getPrefixHitRate";
export * from "./getTimeline";
export * from "./getWindowStatistics";
export * from "./getWorkspaceShares";
export * from "./Percentiles";
export * from "./SecondSample";
export * from "./startEventLoopLagMonitor";
export * from "./WindowStatistics";
export * from "./WorkspaceShare";
