/*
 * Manages the HTTP/2 connection to one other process, with pings that detect a lost connection.
 */
import { Http2SessionManager } from "@connectrpc/connect-node";
import type { Socket } from "node:net";
import { handleSessionErrors } from "./handleSessionErrors";
import { PeerConnection } from "./PeerConnection";

const pingIntervalMilliseconds = 5_000;
const pingTimeoutMilliseconds = 3_000;
const idleTimeoutMilliseconds = 300_000;

/**
 * Creates the connection to a process; it is opened on first use.
 * @param baseUrl - The process's address, as `http://ip:port` or `https://ip:port`.
 * @param openSocket - Opens a socket to the process; a socket without TLS is opened if absent.
 */
export function createPeerConnection(baseUrl: string, openSocket?: () => Socket): PeerConnection {
    const sessionOptions = {
        pingIntervalMs: pingIntervalMilliseconds,
        pingTimeoutMs: pingTimeoutMilliseconds,
        idleConnectionTimeoutMs: idleTimeoutMilliseconds,
    };
    const sessionManager = new Http2SessionManager(
        baseUrl,
        sessionOptions,
        openSocket && { createConnection: openSocket },
    );
    return {
        manager: handleSessionErrors(sessionManager),
        isInUse: () => sessionManager.state() === "open" || sessionManager.state() === "connecting",
        stop: async () => sessionManager.abort(),
    };
}
