/*
 * The options of startServiceStandIn.
 */
import { Clock, RandomSource } from "../../runtime";
import { RunLog } from "./RunLog";
import { ServiceFaults } from "./ServiceFaults";

/** The options of a service stand-in; each doc comment ends with the default. */
export interface ServiceStandInOptions {
    /** The service's name, which prefixes its incarnations; `service`. */
    name?: string;
    /** The IP address to listen on; loopback. */
    address?: string;
    /** The port to listen on; chosen by the system. */
    port?: number;
    /** The run log that all replicas of the service share; a new one in memory. */
    runLog?: RunLog;
    /** The duration of a call, in milliseconds; 20. */
    callMilliseconds?: number;
    /** The delay of the restart after a crash, in milliseconds; 500. */
    restartMilliseconds?: number;
    /** The faults to inject into responses; none. */
    faults?: ServiceFaults;
    /** The clock; the system clock. */
    clock?: Clock;
    /** The random source; a source with seed 1. */
    random?: RandomSource;
}
