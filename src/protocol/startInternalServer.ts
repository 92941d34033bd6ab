/*
 * Answers the other processes over HTTP/2, one connect service beside the other on one port. With a TLS identity, only
 * processes with a certificate of its authorities are heard, each in its own roles.
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
import { RefusalReason } from "./generated/basilwing/v1/common_pb";
import { InternalServer } from "./InternalServer";
import { InternalServerOptions } from "./InternalServerOptions";
import { limitMessageSizes } from "./limitMessageSizes";

const loggedRefusalsPerSecond = 1;
const loggedRefusalsBurst = 20;

/**
 * Starts the listener for other processes.
 * @param listener - Where to listen.
 * @param addServices - Adds the services of the process's roles.
 * @param options - The identity that the listener shows; without one, it must be on loopback or allowed to be plain.
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
    const handler = connectNodeAdapter({
        routes: router => addServices(limitMessageSizes(router)),
        interceptors: [
            createAuthorizationInterceptor(identity === undefined, reportUnauthorizedPeer),
            createRateLimitInterceptor(clock, reportRateLimitedPeer),
        ],
        contextValues: request => peerSessions.getContextValues(request),
    });
    const server = createHttp2Server(identity, handler);
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

    /** Counts every refusal, and logs as many as can't fill the disk. */
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

/** Gets why an identity can't tell which peers to trust. */
function getIdentityProblem(identity: TlsIdentity | undefined): string | undefined {
    const isUsable = identity === undefined || identity.getMaterial().authorities !== undefined;
    return isUsable ? undefined : "TLS between processes needs an authority file";
}
