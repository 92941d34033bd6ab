/*
 * Adapters to what basilwing does not own: engines, plain services, the platform's list, the weight store and the
 * store of kept KV cache.
 */
export * from "./CacheEvent";
export * from "./createCacheSalt";
export * from "./createEngineAdapter";
export * from "./createKvCacheStoreClient";
export * from "./createPlatformListClient";
export * from "./createServiceAdapter";
export * from "./EngineAdapter";
export * from "./EngineAdapterOptions";
export * from "./EngineEvent";
export * from "./EngineLoad";
export * from "./EngineRequest";
export * from "./FailureCause";
export * from "./getFailureCause";
export * from "./KvCacheStore";
export * from "./KvCacheStoreClientOptions";
export * from "./OrderOutcome";
export * from "./readLines";
export * from "./ServiceAdapter";
export * from "./ServiceAdapterOptions";
export * from "./ServiceEvent";
