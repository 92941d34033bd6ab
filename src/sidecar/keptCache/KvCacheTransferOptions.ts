/*
 * What a sidecar's use of the kept-cache store is made from.
 */
import { EngineAdapter, KeptCacheStore } from "../../backends";
import { Clock } from "../../runtime";
import { PrefixIndex } from "../PrefixIndex";
import { KvCachePolicy } from "./KvCachePolicy";

/** The options of a kept cache. */
export interface KvCacheTransferOptions {
    /** The store. */
    store: KeptCacheStore;
    /** The engine. */
    adapter: Pick<EngineAdapter, "importCache" | "exportCache">;
    /** What the engine holds. */
    index: PrefixIndex;
    /** What is worth it. */
    policy: KvCachePolicy;
    /** The passing of time. */
    clock: Clock;
    /** Hears that an import took too long, or that the engine did not take one. */
    onFailure?(): void;
}
