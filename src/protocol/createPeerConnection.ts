/*
 * Manages the connection to one other process. An open connection may fall silent for good while new ones work, and the
 * regular pings take seconds to show it. So a call that waits for long has the connection checked at once, and a second
 * connection, on which something arrives first, takes its place. Calls on the former one may still end there.
 */
import type { ClientHttp2Stream } from "node:http2";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { detach } from "../runtime";
import { createPeerSession } from "./createPeerSession";
import { PeerConnection } from "./PeerConnection";
import { PeerSession } from "./PeerSession";

/** How long the response to a ping may take before another connection is opened, in milliseconds. */
const pingGraceMilliseconds = 50;
/** How long nothing may arrive on the other connection until it is given up, in milliseconds. */
const replacementMilliseconds = 1_000;
/** The interval at which both connections are looked at, in milliseconds. */
const lookMilliseconds = 10;
/** How often a former connection is looked at, to close it once it is idle, in milliseconds. */
const retirementMilliseconds = 250;
/** How long a former connection on which nothing arrives is kept, in milliseconds: calls on it may keep it from being idle. */
const maximumSilenceMilliseconds = 10_000;

/**
 * Creates the connection to a process; it is opened on first use.
 * @param baseUrl - The process's address, as `http://ip:port` or `https://ip:port`.
 * @param openSocket - Opens a socket to the process; a socket without TLS is opened if absent.
 */
export function createPeerConnection(baseUrl: string, openSocket?: () => Socket): PeerConnection {
    let current = createPeerSession(baseUrl, openSocket);
    const formerSessions = new Set<PeerSession>();
    let runningCheck: Promise<boolean> | undefined;
    let isStopped = false;
    return {
        manager: {
            authority: current.manager.authority,
            request: (...parameters) => current.manager.request(...parameters),
            notifyResponseByteRead,
        },
        isInUse: () => current.isInUse() || formerSessions.size > 0,
        check,
        stop,
    };

    function notifyResponseByteRead(stream: ClientHttp2Stream): void {
        current.manager.notifyResponseByteRead(stream);
        formerSessions.forEach(({ manager }) => manager.notifyResponseByteRead(stream));
    }

    function check(): Promise<boolean> {
        runningCheck ??= runCheck().finally(() => runningCheck = undefined);
        return runningCheck;
    }

    async function runCheck(): Promise<boolean> {
        const checked = current;
        if (isStopped || !checked.isOpen()) {
            return false;
        }
        const receivedBytes = checked.getReceivedBytes();
        checked.ping();
        await waitForEvents(pingGraceMilliseconds);
        if (!isSilent()) {
            return false;
        }
        const other = createPeerSession(baseUrl, openSocket);
        other.open();
        const end = performance.now() + replacementMilliseconds;
        while (isSilent() && other.getReceivedBytes() === 0 && performance.now() < end) {
            await waitForEvents(lookMilliseconds);
        }
        // A process that was stopped responds on both connections, one shortly after the other.
        await waitForEvents(lookMilliseconds);
        if (!isSilent() || other.getReceivedBytes() === 0) {
            other.abort();
            return false;
        }
        current = other;
        formerSessions.add(checked);
        detach(closeOnceIdle(checked));
        return true;

        function isSilent(): boolean {
            return !isStopped && checked.isOpen() && checked.getReceivedBytes() === receivedBytes;
        }
    }

    /** Closes a former session once it is idle; where nothing arrives on it, calls that wait for it may keep it from that. */
    async function closeOnceIdle(session: PeerSession): Promise<void> {
        const receivedBytes = session.getReceivedBytes();
        const end = performance.now() + maximumSilenceMilliseconds;
        let isGivenUp = false;
        while (session.isInUse() && !isStopped && !isGivenUp) {
            await sleep(retirementMilliseconds, undefined, { ref: false });
            isGivenUp = performance.now() > end && session.getReceivedBytes() === receivedBytes;
        }
        session.abort();
        formerSessions.delete(session);
    }

    function stop(): Promise<void> {
        isStopped = true;
        [current, ...formerSessions].forEach(session => session.abort());
        return Promise.resolve();
    }
}

/** Waits, and lets the events that arrived meanwhile run first, in a process that was late. */
async function waitForEvents(milliseconds: number): Promise<void> {
    await sleep(milliseconds, undefined, { ref: false });
    await new Promise(resolve => setImmediate(resolve));
}
