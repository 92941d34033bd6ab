/*
 * The dependencies that the roles of one process share.
 */
import { Logger } from "../logging";
import { Metrics } from "../metrics";
import { PeerTransports } from "../protocol";
import { Clock, RandomSource } from "../runtime";
import { InstanceSettings } from "../settings";
import { ListenerIdentities } from "./ListenerIdentities";

/** The shared dependencies of a process's roles. */
export interface InstanceContext {
    /** The process's settings. */
    settings: InstanceSettings;
    /** The TLS identities of the listeners. */
    identities: ListenerIdentities;
    /** The connections to other processes. */
    transports: PeerTransports;
    /** The clock for time and waits. */
    clock: Clock;
    /** The source of random numbers, seeded differently in each process. */
    random: RandomSource;
    /** The log of the process. */
    logger: Logger;
    /** The metrics of the process. */
    metrics: Metrics;
}
