/*
 * A running deployment: stand-ins, sidecars and entries in one process, which communicate over loopback.
 */
import { Stoppable } from "../../runtime";
import { EngineStandIn, RunLogEntry } from "../../standIns";

/** A running deployment. */
export interface Deployment extends Stoppable {
    /** The engine stand-ins. */
    readonly engines: readonly EngineStandIn[];
    /** Gets the addresses that callers connect to, as `http://ip:port`. */
    getAddresses(): readonly string[];
    /** Gets the calls that the service stand-ins ran, over all replicas. */
    getRuns(): readonly RunLogEntry[];
    /** Starts new entries, which have none of the state of the previous ones, and stops the previous ones. */
    restartEntries(): Promise<void>;
}
