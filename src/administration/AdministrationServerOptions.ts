/*
 * The options of the administration server: its listener, its TLS identity and the sources of what it serves.
 */
import { Metrics } from "../metrics";
import { Clock } from "../runtime";
import { TlsIdentity } from "../security";
import { ListenerSettings } from "../settings";

/** The options of the administration server. */
export interface AdministrationServerOptions {
    /** The address and port to listen on; loopback unless the settings name another address. */
    listener: ListenerSettings;
    /** The listener's TLS identity; the listener uses plain HTTP if absent. */
    identity?: TlsIdentity;
    /** The metrics served under `/metrics`. */
    metrics: Metrics;
    /** Tells whether the process accepts work, for `/readyz`. */
    isReady(): boolean;
    /** Gets the state of the process for `/status`, to be serialized as JSON; it never contains prompts or keys. */
    getStatus(): unknown;
    /** The clock by which the ends of connections are awaited; the system's clock if absent. */
    clock?: Clock;
}
