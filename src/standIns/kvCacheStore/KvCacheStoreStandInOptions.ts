/*
 * The options of startKvCacheStoreStandIn.
 */
import { Clock } from "../../runtime";

/** The options of a stand-in for the KV cache store; each doc comment ends with the default. */
export interface KvCacheStoreStandInOptions {
    /** The IP address to listen on; loopback. */
    address?: string;
    /** The port to listen on; chosen by the system. */
    port?: number;
    /** The maximum number of entries, with LRU eviction; 4,096. */
    capacity?: number;
    /** The duration of a read or write, in milliseconds; 5. */
    accessMilliseconds?: number;
    /** The clock; the system clock. */
    clock?: Clock;
}
