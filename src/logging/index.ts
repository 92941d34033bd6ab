/*
 * Logging as lines of JSON, and reading of such logs.
 */
export * from "./BoundedWriter";
export * from "./createBoundedWriter";
export * from "./createLogger";
export * from "./createLogLimiter";
export * from "./createRedactingStream";
export * from "./createSilentLogger";
export * from "./Logger";
export * from "./LoggingSettings";
export * from "./LogLimiter";
export * from "./LogLine";
export * from "./parseLogLine";
export * from "./redactSecrets";
export * from "./selectRequestTimeline";
