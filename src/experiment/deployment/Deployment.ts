/*
 * A running deployment: stand-ins, sidecars and entries in one process, speaking over loopback.
 */
import { Stoppable } from "../../runtime";
import { EngineStandIn, RunLogEntry } from "../../standIns";

/** A running deployment. */
export interface Deployment extends Stoppable {
    /** The engines. */
    readonly engines: readonly EngineStandIn[];
    /** Gets the addresses that callers connect to, as `http://ip:port`. */
    getAddresses(): readonly string[];
    /** Gets the services' runs. */
    getRuns(): readonly RunLogEntry[];
    /** Stops all entries and starts new ones, which know nothing of what was before. */
    restartEntries(): Promise<void>;
}
