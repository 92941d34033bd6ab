/*
 * What a crash watch is made of.
 */
import { EngineAdapter } from "../../backends";
import { ControlClient } from "../../control";
import { Logger } from "../../logging";
import { Clock } from "../../runtime";

/** The options of a crash watch. */
export interface CrashDetectorOptions {
    /** The sidecar's instance id. */
    instanceId: string;
    /** Asks the engine for its incarnation. */
    adapter: Pick<EngineAdapter, "getLoad">;
    /** The control members; undefined where the configuration never changes, and then crashes are not shared. */
    control: ControlClient | undefined;
    /** The passing of time. */
    clock: Clock;
    /** Where crashes are logged. */
    logger: Logger;
}
