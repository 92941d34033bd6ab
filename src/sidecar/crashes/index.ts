/*
 * Evidence of which requests crash engines.
 */
export * from "./CrashDetector";
export * from "./CrashDetectorOptions";
export * from "./createCrashDetector";
export * from "./InFlightRequest";
