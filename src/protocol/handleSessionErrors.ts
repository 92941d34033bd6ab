/*
 * Prevents the error of a closed HTTP/2 session from terminating the process. The library's session manager removes its
 * error listener from a session as soon as a new call finds the session destroyed. The session's error event, which is
 * emitted only once its socket has closed, would then have no listener and terminate the process.
 */
import type { Http2SessionManager } from "@connectrpc/connect-node";
import { ClientHttp2Session } from "node:http2";

/** The part of a session manager that a transport uses. */
type SessionManager = Pick<Http2SessionManager, "authority" | "request" | "notifyResponseByteRead">;

/**
 * Wraps a session manager so that each of its sessions has an error listener at all times. The listeners of the manager
 * itself stay in place.
 * @param sessionManager - The session manager to wrap.
 * @returns The wrapping session manager.
 */
export function handleSessionErrors(sessionManager: Http2SessionManager): SessionManager {
    const sessionsWithListener = new WeakSet<ClientHttp2Session>();
    return { authority: sessionManager.authority, request, notifyResponseByteRead };

    async function request(
        ...parameters: Parameters<SessionManager["request"]>
    ): ReturnType<SessionManager["request"]> {
        const stream = await sessionManager.request(...parameters);
        addErrorListener(stream.session as ClientHttp2Session | undefined);
        return stream;
    }

    function notifyResponseByteRead(...parameters: Parameters<SessionManager["notifyResponseByteRead"]>): void {
        sessionManager.notifyResponseByteRead(...parameters);
    }

    function addErrorListener(session: ClientHttp2Session | undefined): void {
        if (session !== undefined && !sessionsWithListener.has(session)) {
            sessionsWithListener.add(session);
            session.on("error", () => session.destroy());
        }
    }
}
