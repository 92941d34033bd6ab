/*
 * The quarantine of subjects that crash backend servers: parts of prompts and whole requests. Entry processes observe
 * crashes and the subjects in flight at them, the leader of the control members joins the observations and decides, and
 * entry processes refuse requests with a quarantined subject before they reach a backend server.
 */
export * from "./completionFactKind";
export * from "./CrashDetails";
export * from "./crashFactKind";
export * from "./CrashObservation";
export * from "./CrashObserver";
export * from "./CrashObserverOptions";
export * from "./CrashQuarantine";
export * from "./CrashReport";
export * from "./createCrashObserver";
export * from "./createCrashQuarantine";
export * from "./createSubjectEvidence";
export * from "./createSubjectSet";
export * from "./EvidenceScope";
export * from "./getRequestSubjectId";
export * from "./getSubjectKind";
export * from "./getSubjectLimits";
export * from "./GuiltySubject";
export * from "./InstanceState";
export * from "./LossCause";
export * from "./ObservedRun";
export * from "./publishCrashReport";
export * from "./readCrashFacts";
export * from "./RequestIdentity";
export * from "./requestSubjectPrefix";
export * from "./runCrashQuarantine";
export * from "./RunSubjects";
export * from "./SubjectEvidence";
export * from "./SubjectKind";
export * from "./SubjectLimits";
export * from "./SubjectSet";
