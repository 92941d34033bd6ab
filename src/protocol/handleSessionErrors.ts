/*
 * Keeps an ended HTTP/2 session from ending the process. The library's session manager takes its error listener off a
 * session as soon as a new call finds the session destroyed; the session's error event, which comes only once its
 * socket has closed, would then be heard by nobody and stop the process.
 */
import type { Http2SessionManager } from "@connectrpc/connect-node";
import { ClientHttp2Session } from "node:http2";

/** What a transport needs of a session manager. */
type SessionManager = Pick<Http2SessionManager, "authority" | "request" | "notifyResponseByteRead">;

/** Gets a session manager whose sessions' errors are always heard; the manager's own listeners hear them as before. */
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
