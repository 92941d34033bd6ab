/*
 * Logs as lines of JSON.
 */
export * from "./BoundedWriter";
export * from "./createBoundedWriter";
export * from "./createLogger";
export * from "./createRedactingStream";
export * from "./createSilentLogger";
export * from "./Logger";
export * from "./LoggingSettings";
export * from "./redactSecrets";
