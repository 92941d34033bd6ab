/*
 * Opens streams to control members over the connections to other processes.
 */
import { createClient } from "@connectrpc/connect";
import { ControlService, PeerTransports } from "../protocol";
import { SessionOpener } from "./SessionOpener";

/**
 * Creates a function that opens streams to control members.
 * @param transports - The connections to other processes.
 */
export function createSessionOpener(transports: PeerTransports): SessionOpener {
    return (address, updates, signal) =>
        createClient(ControlService, transports.getTransport(address)).session(updates, { signal });
}
