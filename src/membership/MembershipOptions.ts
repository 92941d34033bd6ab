/*
 * What a process's membership is made of.
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
    /** What the process is. */
    identity: ProcessIdentity;
    /** The internal addresses of the control members, as `ip:port`. */
    members: readonly string[];
    /** Gets addresses of sidecars to ask while no control member can be reached; none where absent. */
    getPeerAddresses?: () => Promise<readonly string[]>;
    /** The connections to other processes. */
    transports: PeerTransports;
    /** How streams to control members are opened; over the connections where absent. */
    openSession?: SessionOpener;
    /** How sidecars are asked; over the connections where absent. */
    sidecarPeers?: SidecarPeers;
    /** The process's copy of the configuration. */
    configuration: ConfigurationReceiver;
    /** The passing of time. */
    clock: Clock;
    /** Randomness, seeded differently in each process. */
    random: RandomSource;
    /** Where events are logged. */
    logger: Logger;
    /** What is counted. */
    metrics: Metrics;
}
