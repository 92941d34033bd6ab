/*
 * What decides where an engine fetches cached parts from and saves them to.
 */
import { KvCacheStoreView } from "./KvCacheStoreView";
import { PrefixSources } from "./PrefixSources";
import { RendezvousRanking } from "./RendezvousRanking";

/** Where prompts' parts may be found and kept. */
export interface CacheContext {
    /** The engines that may hold the prompt's shared parts; undefined for requests without a prompt. */
    sources: PrefixSources | undefined;
    /** What the stores of kept KV cache hold. */
    kvCacheStores: KvCacheStoreView;
    /** Divides the shared parts among the stores. */
    ranking: RendezvousRanking;
}
