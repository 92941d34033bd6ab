/*
 * The transfer of KV cache between an engine and the KV cache store.
 */
export * from "./createKvCachePolicy";
export * from "./createKvCacheTransfer";
export * from "./KvCachePolicy";
export * from "./KvCachePolicyOptions";
export * from "./KvCacheTransfer";
export * from "./KvCacheTransferOptions";
