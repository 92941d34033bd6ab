/*
 * What a kept-cache store stand-in is like.
 */
import { Clock } from "../../runtime";

/** The options of a kept-cache store stand-in; one that is absent has the default given with it. */
export interface KvCacheStoreStandInOptions {
    /** The IP address to listen on; loopback. */
    address?: string;
    /** The port to listen on; chosen by the system. */
    port?: number;
    /** How many entries it holds; the one used longest ago goes first; 4,096. */
    capacity?: number;
    /** How long a read or write takes, in milliseconds; 5. */
    accessMilliseconds?: number;
    /** The clock; the machine's. */
    clock?: Clock;
}
