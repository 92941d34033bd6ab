/*
 * What the distribution of a control member is made of.
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
    /** What this member is. */
    identity: MemberIdentity;
    /** The replicated log. */
    log: ReplicatedLog;
    /** The configuration applied here. */
    configuration: ConfigurationSource;
    /** The sidecars whose majority may vouch, applied here. */
    sidecarSet: SidecarSetPart;
    /** The other members. */
    peers: ControlPeers;
    /** Commits a command. */
    propose: (command: Command) => Promise<unknown>;
    /** Whether a former run of this member may have given leases. */
    hasFormerRun: boolean;
    /** Whether this member has started its group, so that no other can have been removed before. */
    startsGroup: boolean;
    /** Gets what each process is sent first, beside configuration and directory; nothing where absent. */
    getInitialEvents?: () => readonly SessionEvent[];
    /** The platform's list; none where absent. */
    platformList?: PlatformList;
    /** The passing of time. */
    clock: Clock;
    /** Where events are logged. */
    logger: Logger;
    /** What is counted. */
    metrics: Metrics;
}
