/*
 * Serves the calls of the other processes over HTTP/2, with all Connect services on one port. With a TLS identity, only
 * processes with a certificate of a trusted authority are served, and each may call only what its roles allow.
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { once } from "node:events";
import { AddressInfo } from "node:net";
import { createInvariantError } from "../errors";
import { createSystemClock } from "../runtime";
import { getListenerProblem, reloadCertificatesOnChange, TlsIdentity } from "../security";
import { ListenerSettings } from "../settings";
import { createAuthorizationInterceptor } from "./createAuthorizationInterceptor";
import { createHttp2Server } from "./createHttp2Server";
import { createPeerSessions } from "./createPeerSessions";
import { createRateBucket } from "./createRateBucket";
import { createRateLimitInterceptor } from "./createRateLimitInterceptor";
import { createUnaryHandler } from "./createUnaryHandler";
import { RefusalReason } from "./generated/basilwing/v1/common_pb";
import { InternalServer } from "./InternalServer";
import { InternalServerOptions } from "./InternalServerOptions";
import { limitMessageSizes } from "./limitMessageSizes";

const loggedRefusalsPerSecond = 1;
const loggedRefusalsBurst = 20;

/**
 * Starts the server for calls from other processes.
 * @param listener - The address and port to listen on.
 * @param addServices - Adds the services of the process's roles.
 * @param options - The server's TLS identity, metrics and logger. Without an identity, the listener must be on loopback
 * or have `allowPlain` set.
 * @returns The server, once it listens.
 * @throws An invariant error if the listener would need TLS or the identity has no authorities; the socket's error if
 * the address can't be listened on.
 */
export async function startInternalServer(
    listener: ListenerSettings,
    addServices: (router: ConnectRouter) => void,
    options: InternalServerOptions = {},
): Promise<InternalServer> {
    const { identity } = options;
    const clock = options.clock ?? createSystemClock();
    const logBucket = createRateBucket(loggedRefusalsPerSecond, loggedRefusalsBurst, clock);
    const problem = getListenerProblem(listener, identity !== undefined) ?? getIdentityProblem(identity);
    if (problem !== undefined) {
        throw createInvariantError(problem);
    }
    const peerSessions = createPeerSessions(identity, clock, reportUnauthorizedPeer);
    const interceptors = [
        createAuthorizationInterceptor(identity === undefined, reportUnauthorizedPeer),
        createRateLimitInterceptor(clock, reportRateLimitedPeer),
    ];
    const unaryHandler = createUnaryHandler({
        otherwise: (request, response) => libraryHandler(request, response),
        interceptors,
        getContextValues: peerSessions.getContextValues,
    });
    const libraryHandler = connectNodeAdapter({
        routes: router => addServices(unaryHandler.wrapRouter(limitMessageSizes(router))),
        interceptors,
        contextValues: request => peerSessions.getContextValues(request),
    });
    const server = createHttp2Server(identity, unaryHandler.handle);
    const stopReloading = identity === undefined ? undefined : reloadCertificatesOnChange(server, identity, "TLSv1.3");
    server.on("session", peerSessions.addSession);
    server.on("tlsClientError", (error, socket) => {
        reportUnauthorizedPeer(
            socket.remoteAddress ?? "unknown",
            `failed its handshake: ${socket.authorizationError ?? error}`,
        );
    });
    server.listen(listener.port, listener.address);
    await once(server, "listening");
    const { address, port } = server.address() as AddressInfo;
    return { address: `${address}:${port}`, stop };

    function reportUnauthorizedPeer(peer: string, refusalProblem: string): void {
        reportRefusal(RefusalReason.UNAUTHORIZED_PEER, peer, refusalProblem);
    }

    function reportRateLimitedPeer(peer: string, refusalProblem: string): void {
        reportRefusal(RefusalReason.RATE_LIMITED, peer, refusalProblem);
    }

    /** Counts every refusal. Logs them at a limited rate, so that they can't fill the disk. */
    function reportRefusal(reason: RefusalReason, peer: string, refusalProblem: string): void {
        options.metrics?.countRefusal(reason);
        if (logBucket.tryTake()) {
            options.logger?.warn({ peer, problem: refusalProblem }, "refused a peer");
        }
    }

    async function stop(): Promise<void> {
        stopReloading?.();
        const closed = once(server, "close");
        server.close();
        await peerSessions.stop();
        await closed;
    }
}

/** Gets the reason why an identity can't be used to verify peers; undefined if it can, and without TLS. */
function getIdentityProblem(identity: TlsIdentity | undefined): string | undefined {
    const isUsable = identity === undefined || identity.getMaterial().authorities !== undefined;
    return isUsable ? undefined : "TLS between processes needs an authority file";
}
