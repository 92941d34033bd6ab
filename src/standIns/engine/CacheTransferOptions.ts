/*
 * What the export and import of KV cache is created from.
 */
import { Clock } from "../../runtime";
import { PrefixCache } from "./PrefixCache";

/** The options of the export and import. */
export interface CacheTransferOptions {
    /** The prefix cache. */
    cache: PrefixCache;
    /** The clock. */
    clock: Clock;
    /** What the engine is like. */
    settings: { importMillisecondsPerBlock: number; };
    /** Stores a piece. */
    store(hash: string, parent: string): void;
}
