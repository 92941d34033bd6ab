/*
 * The leader's view of the backend servers, and the weights rollouts that it runs on them.
 */
export * from "./chooseWeightsLoads";
export * from "./createFleetTracker";
export * from "./createUnresponsiveEngines";
export * from "./EngineClient";
export * from "./EngineReport";
export * from "./FleetListClient";
export * from "./FleetListPollingOptions";
export * from "./FleetSource";
export * from "./FleetTracker";
export * from "./getWeightsVersion";
export * from "./RolloutOptions";
export * from "./runFleetListPolling";
export * from "./runRollout";
export * from "./runWeightsLoad";
export * from "./SharedLimit";
export * from "./UnresponsiveEngines";
export * from "./WeightsLoad";
export * from "./WeightsOrder";
export * from "./WeightsOrderOutcome";
