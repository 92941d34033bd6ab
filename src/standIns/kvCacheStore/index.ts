/*
 * The stand-in for the KV cache store.
 */
export * from "./KvCacheStoreStandIn";
export * from "./KvCacheStoreStandInOptions";
export * from "./startKvCacheStoreStandIn";
