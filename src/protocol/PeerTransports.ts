/*
 * The transports over which a process calls the other processes of the system.
 */
import type { Transport } from "@connectrpc/connect";
import { Stoppable } from "../runtime";

/** Transports with one connection for each process and role, opened on first use and closed when idle. */
export interface PeerTransports extends Stoppable {
    /**
     * Gets the transport to a process. Calls on it fail with `PermissionDenied` if the connection isn't allowed.
     * @param address - The process's internal address, as `ip:port`.
     */
    getTransport(address: string): Transport;
}
