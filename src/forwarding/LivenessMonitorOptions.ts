/*
 * Options of the liveness monitor.
 */
import { Logger } from "../logging";
import { Clock } from "../runtime";
import { BackendLink } from "./BackendLink";

/** The options of the monitor. */
export interface LivenessMonitorOptions {
    /** Sends liveness probes. */
    link: Pick<BackendLink, "probe">;
    /** The clock. */
    clock: Clock;
    /** Logs when a backend server becomes unresponsive or responds again. */
    logger: Logger;
    /** Ends the monitor's background tasks. */
    signal: AbortSignal;
}
