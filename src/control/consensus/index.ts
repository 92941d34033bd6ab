/*
 * The replicated log: an implementation of Raft with pre-vote, leader leases, snapshots and single-member changes.
 */
export * from "./addConsensusService";
export * from "./ApplyContext";
export * from "./ConsensusHandlers";
export * from "./ConsensusLimits";
export * from "./ConsensusPeers";
export * from "./ConsensusRole";
export * from "./ConsensusTiming";
export * from "./createConnectPeers";
export * from "./createReplicatedLog";
export * from "./createSignal";
export * from "./defaultConsensusLimits";
export * from "./defaultConsensusTiming";
export * from "./GroupTolerance";
export * from "./hasPassed";
export * from "./JoinOptions";
export * from "./LogStatus";
export * from "./MemberChange";
export * from "./ProposeOutcome";
export * from "./ReadBarrierOutcome";
export * from "./ReplicatedLog";
export * from "./ReplicatedLogOptions";
export * from "./Signal";
export * from "./StateMachine";
export * from "./VoterStatus";
