/*
 * The stand-in for the weight store.
 */
export * from "./createWeightStoreSource";
export * from "./startWeightStoreStandIn";
export * from "./WeightStoreStandIn";
export * from "./WeightStoreStandInOptions";
