/*
 * The options of a control member.
 */
import { Logger } from "../logging";
import { PlatformList } from "../membership";
import { Metrics } from "../metrics";
import { PeerTransports, SessionEvent } from "../protocol";
import { Clock, RandomSource } from "../runtime";
import { ControlSettings } from "../settings";
import { ConsensusTiming } from "./consensus";
import { EventSource } from "./EventSource";
import { StateMachinePart } from "./StateMachinePart";

/** The options of a control member. */
export interface ControlMemberOptions {
    /** The addresses of the members, and the settings of this one. */
    control: ControlSettings;
    /** This member's internal address, as `ip:port`, the same as in the list of members. */
    address: string;
    /** The folder for durable state. */
    dataFolder: string;
    /** The parts of the replicated state besides the configuration: claims, quarantine and rollouts. */
    parts: readonly StateMachinePart[];
    /** The parts that record events, besides the configuration; none by default. */
    eventSources?: readonly EventSource[];
    /** The transports to other processes. */
    transports: PeerTransports;
    /** Gets the events that a new session begins with, besides configuration and directory; none by default. */
    getInitialEvents?: () => readonly SessionEvent[];
    /** The platform's list of instances; undefined if the platform has none. */
    platformList?: PlatformList;
    /** The consensus timing that differs from the defaults. */
    timing?: Partial<ConsensusTiming>;
    /** The clock that times and delays are taken from. */
    clock: Clock;
    /** The random source, seeded differently in each process. */
    random: RandomSource;
    /** The logger. */
    logger: Logger;
    /** The metrics that the member updates. */
    metrics: Metrics;
}
