/*
 * The connections that other processes hold to this one, and who is at the far end of each. A connection ends when
 * its certificate expires or its authority is removed, also while calls are in flight on it.
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

/** The far end of one connection. */
interface Peer {
    identity: PeerIdentity | undefined;
    name: string;
    chain: readonly X509Certificate[];
}

/** The connections of a listener. */
interface PeerSessions extends Stoppable {
    /** Takes a new connection in, or ends it where its certificate names no identity. */
    addSession(session: ServerHttp2Session): void;
    /** Gets what handlers can learn of a request's sender. */
    getContextValues(request: IncomingMessage | Http2ServerRequest): ContextValues;
}

/**
 * Creates the connections of a listener.
 * @param identity - The listener's identity; undefined where it is plain.
 * @param clock - The passing of time.
 * @param onRefusal - Called with a peer's name and why its connection was ended.
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

    /** Ends the connections whose certificates are no longer good. */
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

/** Gets the far end of a plain connection, known by its address alone: many processes may share an IP address. */
function getPlainPeer(session: ServerHttp2Session): Peer {
    const { remoteAddress, remotePort } = session.socket;
    return { identity: undefined, name: `${remoteAddress ?? "unknown"}:${remotePort ?? 0}`, chain: [] };
}

/** Gets the far end of a TLS connection by its certificate. */
function getTlsPeer(session: ServerHttp2Session): Peer {
    const chain = getPeerCertificateChain(session.socket as TLSSocket);
    const [certificate] = chain;
    const identity = certificate === undefined ? undefined : getCertificateIdentity(certificate);
    return { identity, name: identity?.instanceId ?? session.socket.remoteAddress ?? "unknown", chain };
}
