/*
 * What the administration listener is made of.
 */
import { Metrics } from "../metrics";
import { TlsIdentity } from "../security";
import { ListenerSettings } from "../settings";

/** The options of the administration listener. */
export interface AdministrationServerOptions {
    /** Where to listen; loopback unless the operator opens it. */
    listener: ListenerSettings;
    /** The listener's identity; plain HTTP where absent. */
    identity?: TlsIdentity;
    /** What is counted. */
    metrics: Metrics;
    /** Tells whether the process takes work. */
    isReady(): boolean;
    /** Gets what the process knows of itself, for JSON; never prompts or keys. */
    getStatus(): unknown;
}
