/*
 * Declares what a process's session with the control members depends on.
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
    /** The process's identity. */
    identity: ProcessIdentity;
    /** The internal addresses of the control members, as `ip:port`. */
    members: readonly string[];
    /** Opens a stream to a control member. */
    openSession: SessionOpener;
    /** The process's copy of the configuration. */
    configuration: ConfigurationReceiver;
    /** The process's directory. */
    directory: WritableDirectory;
    /** The process's lease from the control members. */
    lease: ProcessLease;
    /** The sidecars whose majority can confirm the configuration. */
    sidecarSet: SidecarSetView;
    /** The promises that this process made to processes whose revision it confirmed. */
    confirmationPromises: PeerConfirmationPromises;
    /** The process's clock. */
    clock: Clock;
    /** The source of randomness, seeded differently in each process. */
    random: RandomSource;
    /** Where events are logged. */
    logger: Logger;
    /** The metrics that the session updates. */
    metrics: Metrics;
}
