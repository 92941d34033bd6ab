/*
 * Forwards opaque requests to backend servers: admission, placement, attempts and the answer, whatever protocol carries
 * them.
 */
export * from "./AnswerHead";
export * from "./BackendAnswer";
export * from "./BackendAttempt";
export * from "./BackendLink";
export * from "./CacheChange";
export * from "./CacheChanges";
export * from "./CacheChangeSource";
export * from "./CallerReply";
export * from "./createEnginePlacement";
export * from "./createEventSplitter";
export * from "./createForwarder";
export * from "./createLoadBoard";
export * from "./createPrefixReads";
export * from "./createRendezvousRanking";
export * from "./createServiceBudgets";
export * from "./createSilenceWatch";
export * from "./EnginePlacement";
export * from "./EventSplitter";
export * from "./ForwardedRequest";
export * from "./Forwarder";
export * from "./ForwarderOptions";
export * from "./KeptCacheOptions";
export * from "./KeptCacheView";
export * from "./LoadBoard";
export * from "./LoadReport";
export * from "./placePlainRequest";
export * from "./PrefixReads";
export * from "./PrefixSources";
export * from "./PromptOutline";
export * from "./PromptPart";
export * from "./Refusal";
export * from "./ServiceBudgets";
export * from "./SilenceWatch";
export * from "./SilenceWatchOptions";
export * from "./startKeptCacheView";
export * from "./StreamEvent";
