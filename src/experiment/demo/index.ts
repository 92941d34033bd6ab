/*
 * The workload of a demonstration and the checks of its result.
 */
export * from "./createDemoWorkload";
export * from "./DemoAction";
export * from "./DemoCheck";
export * from "./DemoOptions";
export * from "./DemoProgress";
export * from "./DemoResult";
export * from "./getDemoTable";
export * from "./runDemoWorkload";
