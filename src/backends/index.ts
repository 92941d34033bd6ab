/*
 * Adapters for external systems: engines, plain services, the platform's list of instances and the KV cache store.
 */
export * from "./CacheEvent";
export * from "./createBackendAgent";
export * from "./createCacheSalt";
export * from "./createEngineAdapter";
export * from "./createKvCacheStoreClient";
export * from "./createPlatformListClient";
export * from "./createResetCounter";
export * from "./createServiceAdapter";
export * from "./EngineAdapter";
export * from "./EngineAdapterOptions";
export * from "./EngineEvent";
export * from "./EngineLoad";
export * from "./EngineRequest";
export * from "./FailureCause";
export * from "./getFailureCause";
export * from "./getStatusProblem";
export * from "./KvCacheStore";
export * from "./KvCacheStoreClientOptions";
export * from "./limitUnusedBytes";
export * from "./maximumHeaderBytes";
export * from "./OrderOutcome";
export * from "./PieceReader";
export * from "./readBody";
export * from "./readJsonBody";
export * from "./readLines";
export * from "./readUnusedBody";
export * from "./ResetCounter";
export * from "./ResponsePart";
export * from "./ServiceAdapter";
export * from "./ServiceAdapterOptions";
export * from "./ServiceEvent";
export * from "./UnusedByteLimit";
