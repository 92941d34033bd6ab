/*
 * Facts that entry processes observe and that others need to know for a limited time: the other entry processes, the leader
 * of the control members, and the next leader. They travel with the polls of the feed. Each kind of facts is defined by the
 * folder that observes it.
 */
export * from "./createFactHub";
export * from "./createFactStore";
export * from "./createFactSync";
export * from "./Fact";
export * from "./FactChanges";
export * from "./FactDistribution";
export * from "./FactHub";
export * from "./FactKind";
export * from "./FactStore";
export * from "./FactSync";
export * from "./FormerFact";
export * from "./unknownFactStoreId";
