/*
 * Manages one HTTP/2 session to another process, with pings that detect a lost one. The first packet of a connection may be
 * lost, and the kernel repeats it only after a second or more, so an attempt that takes long is given up; its calls fail,
 * and the next one begins another attempt.
 */
import { Http2SessionManager } from "@connectrpc/connect-node";
import type { ClientHttp2Session } from "node:http2";
import { connect, type Socket } from "node:net";
import { detach } from "../runtime";
import { handleSessionErrors } from "./handleSessionErrors";
import { PeerConnection } from "./PeerConnection";
import { PeerSession } from "./PeerSession";

const pingIntervalMilliseconds = 5_000;
const pingTimeoutMilliseconds = 3_000;
const idleTimeoutMilliseconds = 300_000;
/** How long the first attempt to connect may take, in milliseconds. */
const attemptMilliseconds = 400;
/** How much longer each further attempt may take, in milliseconds, since the delay of the network isn't known. */
const attemptIncreaseMilliseconds = 100;
const maximumAttemptMilliseconds = 1_500;

/**
 * Creates the session to a process.
 * @param baseUrl - The process's address, as `http://ip:port` or `https://ip:port`.
 * @param openSocket - Opens a socket to the process; a socket without TLS is opened if absent.
 */
export function createPeerSession(baseUrl: string, openSocket = () => openPlainSocket(baseUrl)): PeerSession {
    const sessionOptions = {
        pingIntervalMs: pingIntervalMilliseconds,
        pingTimeoutMs: pingTimeoutMilliseconds,
        idleConnectionTimeoutMs: idleTimeoutMilliseconds,
    };
    let socket: Socket | undefined;
    let session: ClientHttp2Session | undefined;
    let nextAttemptMilliseconds = attemptMilliseconds;
    const sessionManager = new Http2SessionManager(baseUrl, sessionOptions, { createConnection });
    const { authority, request, notifyResponseByteRead } = handleSessionErrors(sessionManager);
    return {
        manager: { authority, request: requestAndWatch, notifyResponseByteRead },
        open: () => detach(sessionManager.connect().then(() => undefined)),
        isInUse: () => ["open", "verifying", "connecting"].includes(sessionManager.state()),
        isOpen: () => ["open", "verifying"].includes(sessionManager.state()),
        getReceivedBytes: () => socket?.bytesRead ?? 0,
        ping,
        abort: () => sessionManager.abort(),
    };

    async function requestAndWatch(
        ...parameters: Parameters<PeerConnection["manager"]["request"]>
    ): ReturnType<PeerConnection["manager"]["request"]> {
        const stream = await request(...parameters);
        session = stream.session as ClientHttp2Session | undefined;
        return stream;
    }

    function ping(): void {
        if (session !== undefined && !session.closed && !session.destroyed) {
            // What arrives is counted as bytes of the socket.
            session.ping(() => undefined);
        }
    }

    function createConnection(): Socket {
        const opened = openSocket();
        socket = opened;
        const timer = setTimeout(giveUpUnlessConnected, nextAttemptMilliseconds);
        opened.once("connect", () => {
            nextAttemptMilliseconds = attemptMilliseconds;
            clearTimeout(timer);
        });
        opened.once("close", () => clearTimeout(timer));
        return opened;

        function giveUpUnlessConnected(): void {
            // Events that a process without processor time hasn't seen yet come before the check.
            setImmediate(() => {
                if (opened.connecting) {
                    nextAttemptMilliseconds = Math.min(
                        nextAttemptMilliseconds + attemptIncreaseMilliseconds,
                        maximumAttemptMilliseconds,
                    );
                    opened.destroy(
                        Object.assign(new Error("the connection was not established"), { code: "ETIMEDOUT" }),
                    );
                }
            });
        }
    }
}

function openPlainSocket(baseUrl: string): Socket {
    const { hostname, port } = new URL(baseUrl);
    return connect({ host: hostname.replace(/^\[|\]$/g, ""), port: Number(port) });
}
