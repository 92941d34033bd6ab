/*
 * Options of the liveness monitor.
 */
import { FactStore } from "../facts";
import { Logger } from "../logging";
import { Metrics } from "../metrics";
import { Clock } from "../runtime";
import { BackendLink } from "./BackendLink";

/** The options of the monitor. */
export interface LivenessMonitorOptions {
    /** Sends liveness probes. */
    link: Pick<BackendLink, "checkInstance">;
    /** Shares the backend servers that do not respond with the other entry processes. */
    facts: FactStore;
    /** Waits until everything that has arrived has been read, so that no server is taken for silent before. */
    pollConnections(): Promise<void>;
    /** The clock. */
    clock: Clock;
    /** Logs when a backend server becomes unresponsive or responds again. */
    logger: Logger;
    /** Counts failures of background tasks. */
    metrics: Pick<Metrics, "countTaskFailure">;
    /** Ends the monitor's background tasks. */
    signal: AbortSignal;
}
