/*
 * The options of startPlatformStandIn.
 */
import { Clock } from "../../runtime";
import { ListedInstance } from "./ListedInstance";

/** The options of a platform stand-in; each doc comment ends with the default. */
export interface PlatformStandInOptions {
    /** The IP address to listen on; loopback. */
    address?: string;
    /** The port to listen on; chosen by the system. */
    port?: number;
    /** The initially listed instances; none. */
    instances?: readonly ListedInstance[];
    /** The lag of the list behind changes, in milliseconds; 2,000. */
    lagMilliseconds?: number;
    /** The clock; the system clock. */
    clock?: Clock;
}
