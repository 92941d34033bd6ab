/*
 * What a process's session with the control members is made of.
 */
import { Logger } from "../logging";
import { Metrics } from "../metrics";
import { Clock, RandomSource } from "../runtime";
import { ConfigurationReceiver } from "./ConfigurationReceiver";
import { PeerConfirmationPromises } from "./PeerConfirmationPromises";
import { ProcessIdentity } from "./ProcessIdentity";
import { ProcessLease } from "./ProcessLease";
import { SessionOpener } from "./SessionOpener";
import { SidecarSetView } from "./SidecarSetView";
import { WritableDirectory } from "./WritableDirectory";

/** The options of a session. */
export interface ControlSessionOptions {
    /** What the process is. */
    identity: ProcessIdentity;
    /** The internal addresses of the control members, as `ip:port`. */
    members: readonly string[];
    /** How streams are opened. */
    openSession: SessionOpener;
    /** The process's copy of the configuration. */
    configuration: ConfigurationReceiver;
    /** The process's directory. */
    directory: WritableDirectory;
    /** The process's lease. */
    lease: ProcessLease;
    /** The sidecars whose majority may vouch. */
    sidecarSet: SidecarSetView;
    /** What the process has promised to those it vouched for. */
    confirmationPromises: PeerConfirmationPromises;
    /** The passing of time. */
    clock: Clock;
    /** Randomness, seeded differently in each process. */
    random: RandomSource;
    /** Where events are logged. */
    logger: Logger;
    /** What is counted. */
    metrics: Metrics;
}
