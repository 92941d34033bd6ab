/*
 * The coordination components of basilwing as a library for other programs. Each component can be used without the
 * others: docs/LIBRARY.md lists them, and examples/ contains a program for each.
 */
export * from "./backends/CacheEvent";
export * from "./control/claims/ClaimsPart";
export * from "./control/claims/createClaimsPart";
export * from "./control/claims/defaultClaimBounds";
export * from "./control/consensus";
export * from "./control/storage/LogStorage";
export * from "./control/storage/openLogStorage";
export * from "./control/storage/OpenStorageOptions";
export * from "./control/storage/OpenStorageOutcome";
export * from "./logging/createSilentLogger";
export * from "./membership/Authority";
export * from "./membership/AuthorityOptions";
export * from "./membership/ClockReading";
export * from "./membership/createAuthority";
export * from "./membership/createProcessLease";
export * from "./membership/createSidecarSetView";
export * from "./membership/isDispatchAllowed";
export * from "./membership/PeerConfirmationResult";
export * from "./membership/ProcessLease";
export * from "./membership/readClocks";
export * from "./membership/SidecarSetView";
export * from "./metrics/createMetrics";
export * from "./protocol/createPeerTransports";
export * from "./protocol/generated/basilwing/v1/claims_pb";
export * from "./protocol/generated/basilwing/v1/common_pb";
export * from "./protocol/generated/basilwing/v1/control_pb";
export * from "./protocol/InternalServer";
export * from "./protocol/PeerTransports";
export * from "./protocol/startInternalServer";
export * from "./routing";
export * from "./runtime";
export * from "./sidecar/PrefixIndex";
export * from "./sidecar/prefixIndex/createPrefixIndex";
export * from "./sidecar/prefixIndex/PrefixIndexOptions";
export * from "./sidecar/RequestScheduler";
export * from "./sidecar/RunningSlot";
export * from "./sidecar/ScheduledRequest";
export * from "./sidecar/ScheduleOutcome";
export * from "./sidecar/scheduling/createFairQueue";
export * from "./sidecar/scheduling/createRequestScheduler";
export * from "./sidecar/scheduling/FairQueue";
export * from "./sidecar/scheduling/FairQueueItem";
export * from "./sidecar/scheduling/Lane";
export * from "./sidecar/scheduling/RequestSchedulerOptions";
