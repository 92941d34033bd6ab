/*
 * The part of control members that serves entry processes and sidecars: sessions, leases, the directory, and which
 * configuration revision is in force.
 */
export * from "./addControlService";
export * from "./CallOutcome";
export * from "./chooseQuotaOwner";
export * from "./CommandExecutor";
export * from "./ControlPeers";
export * from "./createCommandExecutor";
export * from "./createControlPeers";
export * from "./createDistribution";
export * from "./createQueryHandler";
export * from "./createSessionEvent";
export * from "./createSidecarSetPart";
export * from "./Distribution";
export * from "./DistributionOptions";
export * from "./InForceCheck";
export * from "./InstanceStatus";
export * from "./Leadership";
export * from "./leaseTimes";
export * from "./MemberIdentity";
export * from "./ProcessUpdate";
export * from "./QueryHandler";
export * from "./SidecarSetPart";
