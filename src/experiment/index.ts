/*
 * Experiments that compare routing policies: seeded workloads are sent over loopback to the code of the real processes,
 * with one policy after the other.
 */
export * from "./CapacityResult";
export * from "./createScaledClock";
export * from "./demo";
export * from "./deployment";
export * from "./ExperimentOptions";
export * from "./ExperimentProgress";
export * from "./ExperimentResult";
export * from "./FaultName";
export * from "./policies";
export * from "./report";
export * from "./runExperiment";
export * from "./searchCapacity";
export * from "./workloads";
