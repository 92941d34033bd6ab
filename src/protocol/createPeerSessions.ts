/*
 * Tracks the HTTP/2 sessions that other processes have open to this one, and the identity of each peer. A session is
 * closed when the peer's certificate expires or its authority is removed, even while calls are in flight on it.
 */
import { type ContextValues, createContextValues } from "@connectrpc/connect";
import type { X509Certificate } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Http2ServerRequest, Http2Session, ServerHttp2Session } from "node:http2";
import type { TLSSocket } from "node:tls";
import { Clock, Stoppable } from "../runtime";
import {
    getCertificateIdentity,
    getPeerCertificateChain,
    isChainTrusted,
    parseCertificates,
    PeerIdentity,
    TlsIdentity,
} from "../security";
import { peerIdentityKey } from "./peerIdentityKey";
import { peerNameKey } from "./peerNameKey";

const trustCheckIntervalMilliseconds = 60_000;

/** The peer of one session. */
interface Peer {
    /** The identity that the peer's certificate names; undefined if it names none, and without TLS. */
    identity: PeerIdentity | undefined;
    /** The peer's instance id, or its address if it has no identity. */
    name: string;
    /** The peer's certificate chain; empty without TLS. */
    chain: readonly X509Certificate[];
}

/** The open sessions of a listener; stopping closes them. */
interface PeerSessions extends Stoppable {
    /** Adds a new session, or closes it if the listener uses TLS and the peer's certificate names no identity. */
    addSession(session: ServerHttp2Session): void;
    /** Gets the context values that give handlers the identity and name of a request's sender. */
    getContextValues(request: IncomingMessage | Http2ServerRequest): ContextValues;
}

/**
 * Creates the tracker of a listener's sessions.
 * @param identity - The listener's TLS identity; undefined if it uses no TLS.
 * @param clock - The clock by which certificates expire.
 * @param onRefusal - Called with a peer's name and the reason why its session was closed.
 */
export function createPeerSessions(
    identity: TlsIdentity | undefined,
    clock: Clock,
    onRefusal: (peer: string, problem: string) => void,
): PeerSessions {
    const peers = new Map<Http2Session, Peer>();
    const stopping = new AbortController();
    const removeChangeListener = identity?.addChangeListener(closeUntrustedSessions);
    const trustChecks = identity === undefined ? Promise.resolve() : runTrustChecks();
    return { addSession, getContextValues, stop };

    function addSession(session: ServerHttp2Session): void {
        session.on("error", () => session.destroy());
        const peer = identity === undefined ? getPlainPeer(session) : getTlsPeer(session);
        if (identity !== undefined && peer.identity === undefined) {
            onRefusal(peer.name, "showed a certificate that names no identity");
            session.destroy();
            return;
        }
        peers.set(session, peer);
        session.on("close", () => peers.delete(session));
    }

    function getContextValues(request: IncomingMessage | Http2ServerRequest): ContextValues {
        const session = "stream" in request ? request.stream.session : undefined;
        const peer = session === undefined ? undefined : peers.get(session);
        return createContextValues()
            .set(peerIdentityKey, peer?.identity)
            .set(peerNameKey, peer?.name ?? "unknown");
    }

    async function runTrustChecks(): Promise<void> {
        while (!stopping.signal.aborted) {
            await clock.sleep(trustCheckIntervalMilliseconds, stopping.signal);
            closeUntrustedSessions();
        }
    }

    /** Closes the sessions whose certificates have expired or come from an authority that is no longer trusted. */
    function closeUntrustedSessions(): void {
        const authorities = parseCertificates(identity?.getMaterial().authorities ?? "");
        const now = clock.getWallMilliseconds();
        for (const [session, peer] of peers) {
            if (!isChainTrusted(peer.chain, authorities, now)) {
                onRefusal(peer.name, "has a certificate that is no longer trusted");
                session.destroy();
            }
        }
    }

    async function stop(): Promise<void> {
        removeChangeListener?.();
        stopping.abort();
        for (const session of peers.keys()) {
            session.destroy();
        }
        await trustChecks;
    }
}

/** Gets the peer of a session without TLS. Its name includes the port, since processes may share an IP address. */
function getPlainPeer(session: ServerHttp2Session): Peer {
    const { remoteAddress, remotePort } = session.socket;
    return { identity: undefined, name: `${remoteAddress ?? "unknown"}:${remotePort ?? 0}`, chain: [] };
}

/** Gets the peer of a TLS session from its certificate. */
function getTlsPeer(session: ServerHttp2Session): Peer {
    const chain = getPeerCertificateChain(session.socket as TLSSocket);
    const [certificate] = chain;
    const identity = certificate === undefined ? undefined : getCertificateIdentity(certificate);
    return { identity, name: identity?.instanceId ?? session.socket.remoteAddress ?? "unknown", chain };
}
