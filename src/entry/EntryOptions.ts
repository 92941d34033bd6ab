/*
 * What an entry is made of.
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

/** The options of an entry. */
export interface EntryOptions {
    /** Where callers connect. */
    listener: ListenerSettings;
    /** The identity that the listener shows to callers; plain HTTP where absent. */
    identity?: TlsIdentity;
    /** The limits on callers. */
    settings: EntrySettings;
    /** How prompts are cut. */
    routing: RoutingSettings;
    /** The configuration held. */
    configuration: ConfigurationView;
    /** The processes known. */
    directory: Directory;
    /** The right to act on the configuration held. */
    authority: Authority;
    /** The choice of sidecars. */
    placement: Placement;
    /** Whether sidecars may refuse in favour of a sibling; yes where absent. */
    mayRedirect?: boolean;
    /** The connections to sidecars. */
    transports: PeerTransports;
    /** The control members; undefined where the configuration never changes, and then non-idempotent requests are refused. */
    control: ControlClient | undefined;
    /** What is known of requests that crash engines; undefined where nobody sends it. */
    quarantine?: QuarantineView;
    /** Applies the limits of the configuration tree; none are applied where absent. */
    limiter?: RequestLimiter;
    /** The passing of time. */
    clock: Clock;
    /** Randomness. */
    random: RandomSource;
    /** Where events are logged. */
    logger: Logger;
    /** What is counted. */
    metrics: Metrics;
}
