/*
 * The configuration tree: its levels, what they may set, and how settings are inherited.
 */
export * from "./ConfigurationView";
export * from "./EffectiveSettings";
export * from "./LevelSettings";
export * from "./ModelPermission";
export * from "./PriorityName";
export * from "./RequestLimits";
export * from "./RolloutTarget";
export * from "./ServiceRoute";
export * from "./Subscriber";
