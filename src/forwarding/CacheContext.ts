/*
 * The state from which the cache addresses of an attempt are chosen.
 */
import { NodeRanking } from "../routing";
import { KvCacheStoreView } from "./KvCacheStoreView";
import { PrefixSources } from "./PrefixSources";

/** Where the parts of prompts may be cached. */
export interface CacheContext {
    /** The scope within which the prompt's parts are shared. */
    scope: string;
    /** The engines that may hold the prompt's shared prefixes; undefined for requests without a prompt. */
    sources: PrefixSources | undefined;
    /** The contents of the KV cache stores. */
    kvCacheStores: KvCacheStoreView;
    /** Distributes the shared prefixes over the stores. */
    ranking: NodeRanking;
}
