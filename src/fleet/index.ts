/*
 * The leader's knowledge of the backend servers and its orders to them.
 */
export * from "./chooseLoads";
export * from "./createFleetBoard";
export * from "./createSilentEngines";
export * from "./EngineControl";
export * from "./EngineReport";
export * from "./FleetBoard";
export * from "./FleetList";
export * from "./FleetTaskOptions";
export * from "./getWeightsVersion";
export * from "./LoadChoice";
export * from "./RolloutOptions";
export * from "./runFleetList";
export * from "./runLoad";
export * from "./runRollout";
export * from "./SilentEngines";
export * from "./WeightsOrder";
export * from "./WeightsOrderOutcome";
