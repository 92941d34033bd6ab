/*
 * Detection of engine crashes and evidence of the requests that cause them.
 */
export * from "./CrashDetector";
export * from "./CrashDetectorOptions";
export * from "./createCrashDetector";
export * from "./InFlightRequest";
