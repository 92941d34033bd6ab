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
    /**
     * Checks the connections to a process that has not responded for long, and replaces those that are silent.
     * @param address - The process's internal address, as `ip:port`.
     * @returns Whether a connection was replaced; calls in flight on the former one may never end.
     */
    checkConnection(address: string): Promise<boolean>;
}
