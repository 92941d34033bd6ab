/*
 * The options of the distribution of a control member.
 */
import { Logger } from "../../logging";
import { PlatformList } from "../../membership";
import { Metrics } from "../../metrics";
import { Command, SessionEvent } from "../../protocol";
import { Clock } from "../../runtime";
import { ConfigurationSource } from "../configuration/ConfigurationSource";
import { ReplicatedLog } from "../consensus";
import { ControlPeers } from "./ControlPeers";
import { MemberIdentity } from "./MemberIdentity";
import { SidecarSetPart } from "./SidecarSetPart";

/** The options of the distribution. */
export interface DistributionOptions {
    /** This member's group, id, address and incarnation. */
    identity: MemberIdentity;
    /** The replicated log. */
    log: ReplicatedLog;
    /** The configuration that this member has applied. */
    configuration: ConfigurationSource;
    /** The set of sidecars whose majority can give peer confirmation, as this member has applied it. */
    sidecarSet: SidecarSetPart;
    /** The calls to the other members. */
    peers: ControlPeers;
    /** Commits a command in the replicated log. */
    propose: (command: Command) => Promise<unknown>;
    /** Whether a former run of this member may have granted leases. */
    hasFormerRun: boolean;
    /** Whether this member has created its group, so that no member can have been removed before it started. */
    startsGroup: boolean;
    /** Gets the events that a new session begins with, besides configuration and directory; none by default. */
    getInitialEvents?: () => readonly SessionEvent[];
    /** The platform's list of instances; undefined if the platform has none. */
    platformList?: PlatformList;
    /** The clock that times and delays are taken from. */
    clock: Clock;
    /** The logger. */
    logger: Logger;
    /** The metrics that the session count, directory size and in-force times are recorded in. */
    metrics: Metrics;
}
