/*
 * The options of startWeightStoreStandIn.
 */
import { Clock } from "../../runtime";

/** The options of a weight store stand-in; each doc comment ends with the default. */
export interface WeightStoreStandInOptions {
    /** The IP address to listen on; loopback. */
    address?: string;
    /** The port to listen on; chosen by the system. */
    port?: number;
    /** The duration of a fetch at full speed, in milliseconds; 800. */
    fetchMilliseconds?: number;
    /** The number of concurrent fetches that run at full speed; more fetches share their total rate; 2. */
    fullSpeedFetches?: number;
    /** The clock; the system clock. */
    clock?: Clock;
}
