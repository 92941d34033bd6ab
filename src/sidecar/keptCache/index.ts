/*
 * The use of the store of kept KV cache.
 */
export * from "./createKeptCache";
export * from "./createKeptCachePolicy";
export * from "./KeptCache";
export * from "./KeptCacheOptions";
export * from "./KeptCachePolicy";
export * from "./KeptCachePolicyOptions";
