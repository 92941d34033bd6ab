/*
 * The parameters and dependencies of a crash detector.
 */
import { EngineAdapter } from "../../backends";
import { ControlClient } from "../../control";
import { Logger } from "../../logging";
import { Clock } from "../../runtime";

/** The options of a crash detector. */
export interface CrashDetectorOptions {
    /** The sidecar's instance id. */
    instanceId: string;
    /** The engine, which reports its incarnation. */
    adapter: Pick<EngineAdapter, "getLoad">;
    /** The client of the control members; undefined if the configuration is static, and then nothing is reported. */
    control: ControlClient | undefined;
    /** The clock that the timeout of a report is measured by. */
    clock: Clock;
    /** Logs crashes and reports that were not committed. */
    logger: Logger;
}
