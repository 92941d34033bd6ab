/*
 * The TLS identities of a process's listeners.
 */
import { TlsIdentity } from "../security";

/** The TLS identity that each listener presents; the listener is unencrypted where it is undefined. */
export interface ListenerIdentities {
    /** The identity for other processes, which is also presented on connections to them. */
    internal: TlsIdentity | undefined;
    /** The identity for callers. */
    callers: TlsIdentity | undefined;
    /** The identity for operators. */
    operators: TlsIdentity | undefined;
    /** The identity for health checks and metrics. */
    administration: TlsIdentity | undefined;
}
