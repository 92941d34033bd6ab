/*
 * The options of the transports to other processes: the TLS identity, and whether connections without TLS are allowed.
 */
import { TlsIdentity } from "../security";

/** The options of the transports to other processes. */
export interface PeerTransportsOptions {
    /** The process's TLS identity; connections use no TLS if absent. */
    identity?: TlsIdentity;
    /** Whether connections without TLS are allowed to addresses other than loopback; false if absent. */
    allowPlain?: boolean;
}
