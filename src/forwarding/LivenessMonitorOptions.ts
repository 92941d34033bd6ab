/*
 * What the watch over silent backend servers is made of.
 */
import { Logger } from "../logging";
import { Clock } from "../runtime";
import { BackendLink } from "./BackendLink";

/** The options of the watch. */
export interface LivenessMonitorOptions {
    /** Asks for a sign of life. */
    link: Pick<BackendLink, "probe">;
    /** The passing of time. */
    clock: Clock;
    /** Where verdicts are logged. */
    logger: Logger;
    /** Ends the tasks. */
    signal: AbortSignal;
}
