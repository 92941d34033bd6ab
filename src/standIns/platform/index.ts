/*
 * The stand-in for the platform's list of instances.
 */
export * from "./ListedInstance";
export * from "./PlatformStandIn";
export * from "./PlatformStandInOptions";
export * from "./startPlatformStandIn";
