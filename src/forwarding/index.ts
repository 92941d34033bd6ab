/*
 * Forwards opaque requests to backend servers: admission, placement, attempts and the response, independent of the
 * protocol that carries them.
 */
export * from "./AttemptEnd";
export * from "./AttemptResult";
export * from "./BackendAttempt";
export * from "./BackendLink";
export * from "./CacheChange";
export * from "./CacheChanges";
export * from "./CacheChangeSource";
export * from "./CacheUse";
export * from "./CallerReply";
export * from "./chooseLeastLoadedInstance";
export * from "./createEnginePlacement";
export * from "./createEventSplitter";
export * from "./createForwarder";
export * from "./createLivenessMonitor";
export * from "./createLoadTracker";
export * from "./createPlannedStop";
export * from "./createPrefillTracker";
export * from "./createPromptDescriptor";
export * from "./createRetryBudgets";
export * from "./drainingRetryAfterMilliseconds";
export * from "./EnginePlacement";
export * from "./EventSplitter";
export * from "./ForwardedRequest";
export * from "./Forwarder";
export * from "./ForwarderOptions";
export * from "./HttpResponseHead";
export * from "./KvCacheStoreView";
export * from "./KvCacheStoreViewOptions";
export * from "./LivenessMonitor";
export * from "./LivenessMonitorOptions";
export * from "./LoadReport";
export * from "./LoadTracker";
export * from "./PlannedStop";
export * from "./PrefillTracker";
export * from "./PrefixSources";
export * from "./PromptDescriptor";
export * from "./PromptPart";
export * from "./Refusal";
export * from "./ResponseEnd";
export * from "./ResponseFraming";
export * from "./RetryBudgets";
export * from "./startKvCacheStoreView";
export * from "./StreamEvent";
export * from "./unresponsiveServerFactKind";
