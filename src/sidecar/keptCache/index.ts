/*
 * The use of the store of kept KV cache.
 */
export * from "./createKvCachePolicy";
export * from "./createKvCacheTransfer";
export * from "./KvCachePolicy";
export * from "./KvCachePolicyOptions";
export * from "./KvCacheTransfer";
export * from "./KvCacheTransferOptions";
