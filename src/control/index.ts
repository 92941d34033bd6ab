/*
 * The control members: a replicated log, the replicated state, and the services for other processes.
 */
export * from "./ControlClient";
export * from "./ControlClientOptions";
export * from "./ControlMember";
export * from "./ControlMemberOptions";
export * from "./ControlMemberStartOutcome";
export * from "./ControlState";
export * from "./createControlClient";
export * from "./createControlMember";
export * from "./createControlState";
export * from "./createEventHistory";
export * from "./createEventsPart";
export * from "./decodeEvents";
export * from "./distribution";
export * from "./encodeEvents";
export * from "./EventHistory";
export * from "./EventKind";
export * from "./EventSource";
export * from "./ExecuteResult";
export * from "./placement";
export * from "./QueryResult";
export * from "./StateMachinePart";
export * from "./SystemEvent";
