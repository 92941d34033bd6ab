/*
 * Creates the transports to other processes, with one HTTP/2 session for each process and role, shared by all calls.
 */
import type { DescMethod } from "@bufbuild/protobuf";
import type { Transport } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { detach } from "../runtime";
import { TlsIdentity } from "../security";
import { isLoopbackAddress } from "../settings";
import { Role } from "../settings";
import { connectToPeer } from "./connectToPeer";
import { createPeerConnection } from "./createPeerConnection";
import { createRefusingTransport } from "./createRefusingTransport";
import { createUnaryCaller } from "./createUnaryCaller";
import { getServerRole } from "./getServerRole";
import { PeerConnection } from "./PeerConnection";
import { PeerTransports } from "./PeerTransports";
import { PeerTransportsOptions } from "./PeerTransportsOptions";

/** The transport to a process, for the services of one role, and its connection. */
interface Peer {
    transport: Transport;
    connection: PeerConnection;
}

/**
 * Creates the transports of one process.
 * @param options - The TLS identity of the process; without one, connections are limited to loopback unless
 * `allowPlain` is set.
 */
export function createPeerTransports(options: PeerTransportsOptions = {}): PeerTransports {
    const { identity } = options;
    const peers = new Map<string, Peer>();
    const transports = new Map<string, Transport>();
    const retiredConnections = new Set<PeerConnection>();
    const removeChangeListener = identity?.addChangeListener(replaceConnections);
    return { getTransport, checkConnection, stop };

    function getTransport(address: string): Transport {
        const transport = transports.get(address) ?? createTransport(address);
        transports.set(address, transport);
        return transport;
    }

    async function checkConnection(address: string): Promise<boolean> {
        const checked = [...peers].filter(([key]) => key === address || key.endsWith(` ${address}`));
        const outcomes = await Promise.all(checked.map(([, { connection }]) => connection.check()));
        return outcomes.includes(true);
    }

    function createTransport(address: string): Transport {
        if (identity !== undefined && identity.getMaterial().authorities === undefined) {
            return createRefusingTransport("TLS between processes needs an authority file");
        }
        if (identity !== undefined) {
            return createTlsTransport(address, identity);
        }
        if (options.allowPlain === true || isLoopbackAddress(getHost(address))) {
            return addPeer(address, createPlainConnection(address)).transport;
        }
        return createRefusingTransport(`a connection to ${address} needs TLS or allowPlain`);
    }

    /** Creates a transport that sends each call over a connection whose peer has the role that serves the method. */
    function createTlsTransport(address: string, ownIdentity: TlsIdentity): Transport {
        return {
            unary: (method, ...rest) => getTransportForMethod(method).unary(method, ...rest),
            stream: (method, ...rest) => getTransportForMethod(method).stream(method, ...rest),
        };

        function getTransportForMethod(method: DescMethod): Transport {
            const role = getServerRole(method.parent) ?? Role.Control;
            const key = `${role} ${address}`;
            const peer = peers.get(key) ?? addPeer(key, createTlsConnection(address, ownIdentity, role));
            return peer.transport;
        }
    }

    function addPeer(key: string, connection: PeerConnection): Peer {
        const { stream } = createConnectTransport({
            baseUrl: connection.manager.authority,
            httpVersion: "2",
            sessionManager: connection.manager,
        });
        const transport = { unary: createUnaryCaller(connection.manager, () => detach(connection.check())), stream };
        const peer: Peer = { transport, connection };
        peers.set(key, peer);
        return peer;
    }

    /**
     * Makes new calls open connections with the new certificates. Calls in flight finish on the old connections, which
     * are closed at a later change, once they are idle.
     */
    function replaceConnections(): void {
        for (const peer of peers.values()) {
            retiredConnections.add(peer.connection);
        }
        peers.clear();
        for (const connection of retiredConnections) {
            if (!connection.isInUse()) {
                retiredConnections.delete(connection);
                detach(connection.stop());
            }
        }
    }

    async function stop(): Promise<void> {
        removeChangeListener?.();
        const connections = [...retiredConnections, ...[...peers.values()].map(peer => peer.connection)];
        await Promise.all(connections.map(connection => connection.stop()));
        peers.clear();
        transports.clear();
        retiredConnections.clear();
    }
}

/** Creates a connection without TLS, for loopback or a trusted network. */
function createPlainConnection(address: string): PeerConnection {
    return createPeerConnection(`http://${address}`);
}

/** Creates a TLS connection, whose peer must have a role. */
function createTlsConnection(address: string, identity: TlsIdentity, role: Role): PeerConnection {
    const baseUrl = `https://${address}`;
    return createPeerConnection(baseUrl, () => connectToPeer(new URL(baseUrl), identity, role));
}

/** Gets the IP address from an address with a port. */
function getHost(address: string): string {
    return address.slice(0, address.lastIndexOf(":"));
}
