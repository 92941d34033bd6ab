/*
 * Assembles the roles of one process, and starts and stops the process.
 */
export * from "./createBackend";
export * from "./createControlRole";
export * from "./createEntryRole";
export * from "./createQuarantineEvent";
export * from "./createRoleControlClient";
export * from "./createRoleMembership";
export * from "./createSidecarRole";
export * from "./getRoleInstanceId";
export * from "./InstanceAddresses";
export * from "./InstanceContext";
export * from "./InstanceRole";
export * from "./ListenerIdentities";
export * from "./loadListenerIdentities";
export * from "./RunningInstance";
export * from "./startInstance";
export * from "./StartOutcome";
export * from "./startQuarantineFeed";
