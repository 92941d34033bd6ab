/*
 * The leader's knowledge of the backend servers and its orders to them.
 */
export * from "./chooseWeightsLoads";
export * from "./createFleetTracker";
export * from "./createUnresponsiveEngines";
export * from "./EngineClient";
export * from "./EngineReport";
export * from "./FleetListClient";
export * from "./FleetListPollingOptions";
export * from "./FleetTracker";
export * from "./getWeightsVersion";
export * from "./RolloutOptions";
export * from "./runFleetListPolling";
export * from "./runRollout";
export * from "./runWeightsLoad";
export * from "./UnresponsiveEngines";
export * from "./WeightsLoad";
export * from "./WeightsOrder";
export * from "./WeightsOrderOutcome";
