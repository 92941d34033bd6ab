/*
 * Declares what a process's membership depends on.
 */
import { Logger } from "../logging";
import { Metrics } from "../metrics";
import { PeerTransports } from "../protocol";
import { Clock, RandomSource } from "../runtime";
import { ConfigurationReceiver } from "./ConfigurationReceiver";
import { ProcessIdentity } from "./ProcessIdentity";
import { SessionOpener } from "./SessionOpener";
import { SidecarPeers } from "./SidecarPeers";

/** The options of a process's membership. */
export interface MembershipOptions {
    /** The process's identity. */
    identity: ProcessIdentity;
    /** The internal addresses of the control members, as `ip:port`. */
    members: readonly string[];
    /**
     * Gets addresses of sidecars to fetch the first state from while there is no configuration; absent, none is asked.
     */
    getPeerAddresses?: () => Promise<readonly string[]>;
    /** The connections to other processes. */
    transports: PeerTransports;
    /** Opens streams to control members; by default over `transports`. */
    openSession?: SessionOpener;
    /** Sends requests to sidecars; by default over `transports`. */
    sidecarPeers?: SidecarPeers;
    /** The process's copy of the configuration. */
    configuration: ConfigurationReceiver;
    /** The process's clock. */
    clock: Clock;
    /** The source of randomness, seeded differently in each process. */
    random: RandomSource;
    /** Where events are logged. */
    logger: Logger;
    /** The metrics that the membership updates. */
    metrics: Metrics;
}
