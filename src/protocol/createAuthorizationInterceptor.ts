/*
 * Refuses calls and messages that the caller's certificate doesn't authorize, before they reach a handler.
 */
import type { DescMethod, Message } from "@bufbuild/protobuf";
import { Code, ConnectError, type Interceptor } from "@connectrpc/connect";
import { PeerIdentity } from "../security";
import { getCallerRoles } from "./getCallerRoles";
import { getMessageProblem } from "./getMessageProblem";
import { peerIdentityKey } from "./peerIdentityKey";

/**
 * Creates the interceptor that checks every call and every streamed message against the caller's identity. Refused
 * calls fail with `PermissionDenied`.
 * @param allowsUnauthenticated - Whether callers without an identity are served; true only for listeners without TLS.
 * @param onRefusal - Called with the caller's name and the reason for the refusal.
 */
export function createAuthorizationInterceptor(
    allowsUnauthenticated: boolean,
    onRefusal: (peer: string, problem: string) => void,
): Interceptor {
    return next => async request => {
        const identity = request.contextValues.get(peerIdentityKey);
        if (identity === undefined) {
            if (!allowsUnauthenticated) {
                throw createRefusalError("unknown", "showed no identity");
            }
            return next(request);
        }
        checkMethod(identity, request.method);
        if (request.stream) {
            return next({ ...request, message: checkMessages(identity, request.message) });
        }
        checkMessage(identity, request.message);
        return next(request);
    };

    function checkMethod(identity: PeerIdentity, method: DescMethod): void {
        const allowed = getCallerRoles(method);
        if (!identity.roles.some(role => allowed.includes(role))) {
            throw createRefusalError(identity.instanceId, `may not call ${method.parent.name}.${method.name}`);
        }
    }

    function checkMessage(identity: PeerIdentity, message: Message): void {
        const problem = getMessageProblem(identity, message);
        if (problem !== undefined) {
            throw createRefusalError(identity.instanceId, problem);
        }
    }

    async function* checkMessages(identity: PeerIdentity, messages: AsyncIterable<Message>): AsyncIterable<Message> {
        for await (const message of messages) {
            checkMessage(identity, message);
            yield message;
        }
    }

    function createRefusalError(peer: string, problem: string): ConnectError {
        onRefusal(peer, problem);
        return new ConnectError(`${peer} ${problem}`, Code.PermissionDenied, { "basilwing-run": "no" });
    }
}
