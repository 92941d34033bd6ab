/*
 * The load of engines, shared among the entry processes through the leader of the control members.
 */
export * from "./addUpLoads";
export * from "./createFleetLoads";
export * from "./decodeServerLoads";
export * from "./encodeServerLoads";
export * from "./fleetLoadFactKind";
export * from "./FleetLoads";
export * from "./ownLoadFactKind";
export * from "./runLoadDistribution";
export * from "./ServerLoad";
