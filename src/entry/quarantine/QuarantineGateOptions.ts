/*
 * The options of a quarantine gate.
 */
import { ControlClient } from "../../control";
import { Logger } from "../../logging";
import { Clock } from "../../runtime";
import { QuarantineView } from "./QuarantineView";

/** The options of a quarantine gate. */
export interface QuarantineGateOptions {
    /** The client of the control members; undefined where the configuration never changes. */
    control: ControlClient | undefined;
    /** The quarantine records; undefined where no records are received. */
    view: QuarantineView | undefined;
    /** The source of time. */
    clock: Clock;
    /** The logger. */
    logger: Logger;
}
