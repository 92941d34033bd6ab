/*
 * The settings and services that an entry process is created with.
 */
import { ControlClient } from "../control";
import { ConfigurationView } from "../control/configuration";
import { RequestLimiter } from "../limits";
import { Logger } from "../logging";
import { Authority, Directory } from "../membership";
import { Metrics } from "../metrics";
import { PeerTransports } from "../protocol";
import { Placement } from "../routing";
import { Clock, RandomSource } from "../runtime";
import { TlsIdentity } from "../security";
import { EntrySettings, ListenerSettings, RoutingSettings } from "../settings";
import { QuarantineView } from "./quarantine";

/** The options of an entry process. */
export interface EntryOptions {
    /** The address and port that callers connect to. */
    listener: ListenerSettings;
    /** The TLS certificate and key of the listener; plain HTTP where absent. */
    identity?: TlsIdentity;
    /** The limits on connections, bodies and requests, and the timeouts. */
    settings: EntrySettings;
    /** The block size for prefix hashes, and the estimate of bytes per token. */
    routing: RoutingSettings;
    /** The configuration that this process holds. */
    configuration: ConfigurationView;
    /** The directory of known processes, from which sidecars are chosen. */
    directory: Directory;
    /** Checks whether this process may act on the configuration that it holds. */
    authority: Authority;
    /** Ranks the sidecars for a request. */
    placement: Placement;
    /** Whether sidecars may refuse a request in favour of a sibling; true where absent. */
    mayRedirect?: boolean;
    /** The connections to sidecars. */
    transports: PeerTransports;
    /**
     * The client of the control members; undefined where the configuration never changes, and then non-idempotent
     * requests are refused.
     */
    control: ControlClient | undefined;
    /** The quarantine records of requests that crash engines; undefined where no records are received. */
    quarantine?: QuarantineView;
    /** Applies the rate limits of the configuration tree; none are applied where absent. */
    limiter?: RequestLimiter;
    /** The source of time. */
    clock: Clock;
    /** The source of randomness. */
    random: RandomSource;
    /** The logger. */
    logger: Logger;
    /** The metrics that requests, refusals and token usage are recorded in. */
    metrics: Metrics;
}
