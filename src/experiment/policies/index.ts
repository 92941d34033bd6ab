/*
 * The routing policies that an experiment compares: the product's own and reference policies.
 */
export * from "./createFleetGroundTruth";
export * from "./createHashPlacement";
export * from "./createLeastLoadedPlacement";
export * from "./createOraclePlacement";
export * from "./createPolicyComponents";
export * from "./createRoundRobinPlacement";
export * from "./FleetGroundTruth";
export * from "./PolicyComponents";
export * from "./PolicyName";
