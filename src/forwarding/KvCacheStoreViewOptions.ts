/*
 * What the view of kept caches is made of.
 */
import { FeedState } from "../feed";
import { Logger } from "../logging";
import { Clock } from "../runtime";
import { CacheChangeSource } from "./CacheChangeSource";

/** The options of the view. */
export interface KvCacheStoreViewOptions {
    /** Names the stores, and how many entries ask them. */
    state: Pick<FeedState, "getTable" | "getEntryCount">;
    /** Where changes are asked for. */
    source: CacheChangeSource;
    /** The passing of time. */
    clock: Clock;
    /** Where lost and regained stores are logged. */
    logger: Logger;
    /** Ends the tasks. */
    signal: AbortSignal;
}
