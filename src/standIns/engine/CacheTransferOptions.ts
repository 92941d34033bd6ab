/*
 * The options of createCacheTransfer.
 */
import { Clock } from "../../runtime";
import { PrefixCache } from "./PrefixCache";

/** The options of the export and import of KV cache. */
export interface CacheTransferOptions {
    /** The prefix cache. */
    cache: PrefixCache;
    /** The clock. */
    clock: Clock;
    /** The duration of an import. */
    settings: { importMillisecondsPerBlock: number; };
    /** Stores a block in the prefix cache. */
    store(hash: string, parent: string): void;
}
