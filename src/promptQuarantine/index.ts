/*
 * The quarantine of parts of prompts that crash engines. Entry processes observe crashes and the parts in flight at
 * them, the leader of the control members joins the observations and decides, and entry processes refuse requests with
 * a quarantined part before they reach an engine.
 */
export * from "./addCrashReport";
export * from "./CrashObservation";
export * from "./CrashObserver";
export * from "./CrashObserverOptions";
export * from "./CrashReport";
export * from "./createCrashObserver";
export * from "./createPartEvidence";
export * from "./createPromptQuarantine";
export * from "./encodeCrashReport";
export * from "./EngineRun";
export * from "./GuiltyPart";
export * from "./InstanceState";
export * from "./PartEvidence";
export * from "./PromptQuarantine";
export * from "./runPartQuarantine";
