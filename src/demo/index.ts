/*
 * The demonstration: the Régie's deployment in one process, with stand-ins as backend servers and a few failures.
 */
export * from "./DemoDeployment";
export * from "./DemoDeploymentOptions";
export * from "./getFreePorts";
export * from "./startDemoDeployment";
