/*
 * The sidecar: the process beside one backend server, through which all its traffic and orders pass. Settings,
 * wire and metrics call the sidecar "companion".
 */
export * from "./attempts";
export * from "./Backend";
export * from "./BackendState";
export * from "./crashes";
export * from "./createFifoScheduler";
export * from "./createInstrumentedBackend";
export * from "./createSidecar";
export * from "./FifoSchedulerOptions";
export * from "./kvCacheTransfer";
export * from "./orders";
export * from "./PrefixIndex";
export * from "./prefixIndex/index";
export * from "./RequestScheduler";
export * from "./RunningSlot";
export * from "./ScheduledRequest";
export * from "./ScheduleHint";
export * from "./ScheduleOutcome";
export * from "./scheduling";
export * from "./Sidecar";
export * from "./SidecarOptions";
