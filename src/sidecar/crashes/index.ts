/*
 * Evidence of which requests crash engines.
 */
export * from "./CrashWatch";
export * from "./CrashWatchOptions";
export * from "./createCrashWatch";
export * from "./InFlightRequest";
