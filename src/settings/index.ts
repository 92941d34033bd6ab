/*
 * The settings of a process: a JSON file, validated against a schema, with overrides from environment variables.
 */
export * from "./checkInstanceSettings";
export * from "./ControlSettings";
export * from "./EntrySettings";
export * from "./Environment";
export * from "./EnvironmentOverride";
export * from "./getEnvironmentOverrides";
export * from "./InstanceSettings";
export * from "./instanceSettingsSchema";
export * from "./isLoopbackAddress";
export * from "./ListenerSettings";
export * from "./loadInstanceSettings";
export * from "./Role";
export * from "./RoutingSettings";
export * from "./SettingsLoadOutcome";
export * from "./SidecarSettings";
export * from "./TlsSettings";
export * from "./validation";
