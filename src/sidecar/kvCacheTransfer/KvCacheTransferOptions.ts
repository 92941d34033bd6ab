/*
 * The options of a sidecar's KV cache transfer.
 */
import { EngineAdapter, KvCacheStore } from "../../backends";
import { Clock } from "../../runtime";
import { PrefixIndex } from "../PrefixIndex";
import { KvCachePolicy } from "./KvCachePolicy";

/** The store, the engine and the policy of a KV cache transfer. */
export interface KvCacheTransferOptions {
    /** The client of the KV cache store. */
    store: KvCacheStore;
    /** The engine's import and export of KV cache. */
    adapter: Pick<EngineAdapter, "importCache" | "exportCache">;
    /** The index of the engine's prefix cache. */
    index: PrefixIndex;
    /** Decides which prefixes are imported and stored. */
    policy: KvCachePolicy;
    /** The clock that import timeouts are measured with. */
    clock: Clock;
    /** Called when an import has timed out or the engine has rejected one. */
    onFailure?(): void;
}
