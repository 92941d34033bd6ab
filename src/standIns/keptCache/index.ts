/*
 * The stand-in for the store of kept KV cache.
 */
export * from "./KvCacheStoreStandIn";
export * from "./KvCacheStoreStandInOptions";
export * from "./startKvCacheStoreStandIn";
