/*
 * Options of the view of the KV cache stores.
 */
import { FeedState } from "../feed";
import { Logger } from "../logging";
import { Metrics } from "../metrics";
import { Clock } from "../runtime";
import { CacheChangeSource } from "./CacheChangeSource";

/** The options of the view. */
export interface KvCacheStoreViewOptions {
    /** Provides the stores' addresses and the number of entry processes that poll them. */
    state: Pick<FeedState, "getRouteTable" | "getEntryCount">;
    /** Polls the stores for changes. */
    source: CacheChangeSource;
    /** The clock. */
    clock: Clock;
    /** Logs when a store becomes reachable or unreachable. */
    logger: Logger;
    /** Counts failures of background tasks. */
    metrics: Pick<Metrics, "countTaskFailure">;
    /** Ends the view's background tasks. */
    signal: AbortSignal;
}
